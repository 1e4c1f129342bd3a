package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// AuthorityFile is the file name of the authority's certificate in a folder.
const AuthorityFile = "authority.pem"

// clockSkew is how long before its issue a certificate becomes valid, to tolerate
// clock skew.
const clockSkew = time.Hour

// PEM block types.
const (
	blockCertificate = "CERTIFICATE"
	blockPrivateKey  = "PRIVATE KEY"
)

// Files are the paths of the PEM files of one certificate.
type Files struct {
	Certificate string
	Key         string
	// Authority is the file with the authority's certificate.
	Authority string
}

// Options configures an Authority.
type Options struct {
	// Validity is how long the certificates are valid. Default 24h.
	Validity time.Duration
	// Addresses are the IP addresses in the certificates, for clients that verify them.
	// Default 127.0.0.1.
	Addresses []net.IP
}

// Authority is a certificate authority. It is safe for concurrent use.
type Authority struct {
	options        Options
	certificate    *x509.Certificate
	key            *ecdsa.PrivateKey
	certificatePEM []byte

	mu     sync.Mutex
	serial int64
}

// NewAuthority creates an authority with a new key and a self-signed certificate.
func NewAuthority(options Options) (*Authority, error) {
	if options.Validity == 0 {
		options.Validity = 24 * time.Hour
	}
	if len(options.Addresses) == 0 {
		options.Addresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	}
	authority := &Authority{options: options}
	root := authority.template("reelrun rehearsal authority")
	root.IsCA, root.BasicConstraintsValid, root.KeyUsage = true, true, x509.KeyUsageCertSign
	var err error
	authority.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate the authority's key")
	}
	data, err := x509.CreateCertificate(rand.Reader, root, root, &authority.key.PublicKey, authority.key)
	if err != nil {
		return nil, errors.Wrap(err, "create the authority's certificate")
	}
	authority.certificate, err = x509.ParseCertificate(data)
	authority.certificatePEM = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: data})
	return authority, errors.Wrap(err, "parse the authority's certificate")
}

// template returns an unsigned certificate with the next serial number.
func (a *Authority) template(name string) *x509.Certificate {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-clockSkew), NotAfter: time.Now().Add(a.options.Validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: a.options.Addresses,
	}
}

// Issue writes a new certificate, its key and the authority's certificate to a folder,
// and returns the files and the serial number. It replaces files of an earlier
// certificate of the same name.
func (a *Authority) Issue(folder, name string) (Files, int64, error) {
	files := Files{
		Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"),
		Authority: filepath.Join(folder, AuthorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, 0, errors.Wrap(err, "generate key")
	}
	unsigned := a.template(name)
	signed, err := x509.CreateCertificate(rand.Reader, unsigned, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return files, 0, errors.Wrap(err, "sign certificate")
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, 0, errors.Wrap(err, "encode key")
	}
	return files, unsigned.SerialNumber.Int64(), writeFiles(map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: signed}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: blockPrivateKey, Bytes: encodedKey}),
		files.Authority:   a.certificatePEM,
	})
}

func writeFiles(contents map[string][]byte) error {
	for name, content := range contents {
		if err := replaceFile(name, content); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile replaces a file atomically: a process that starts at the same time reads
// either the earlier content or the new one.
func replaceFile(name string, content []byte) error {
	temporary, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return errors.Wrap(err, "create temporary file")
	}
	_, err = temporary.Write(content)
	if err = errors.CombineErrors(err, temporary.Close()); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.Rename(temporary.Name(), name), "replace certificate")
}
