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

// AuthorityFile is the name of the authority's own certificate in a folder.
const AuthorityFile = "authority.pem"

// clockSlack is how far before now a certificate begins to be valid.
const clockSlack = time.Hour

// PEM block types.
const (
	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
)

// Files names the PEM files of one certificate.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificate of the authority.
	Authority string
}

// Options describe an authority.
type Options struct {
	// Validity is how long its certificates are valid. Default 24h.
	Validity time.Duration
	// Addresses are the IP addresses that its certificates name, for callers that
	// check them. Default 127.0.0.1.
	Addresses []net.IP
}

// Authority issues certificates. It is safe for concurrent use.
type Authority struct {
	options     Options
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	encoded     []byte

	mu     sync.Mutex
	serial int64
}

// NewAuthority creates an authority with a new key.
func NewAuthority(options Options) (*Authority, error) {
	if options.Validity == 0 {
		options.Validity = 24 * time.Hour
	}
	if len(options.Addresses) == 0 {
		options.Addresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	}
	created := &Authority{options: options}
	root := created.template("reelrun rehearsal authority")
	root.IsCA, root.BasicConstraintsValid, root.KeyUsage = true, true, x509.KeyUsageCertSign
	var err error
	created.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make authority's key")
	}
	data, err := x509.CreateCertificate(rand.Reader, root, root, &created.key.PublicKey, created.key)
	if err != nil {
		return nil, errors.Wrap(err, "make authority's certificate")
	}
	created.certificate, err = x509.ParseCertificate(data)
	created.encoded = pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: data})
	return created, errors.Wrap(err, "parse authority's certificate")
}

// template is an unsigned certificate with the next serial number.
func (a *Authority) template(name string) *x509.Certificate {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-clockSlack), NotAfter: time.Now().Add(a.options.Validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: a.options.Addresses,
	}
}

// Issue writes a new certificate, its key and the authority's certificate into a
// folder, and returns the files and the serial number. Files of an earlier
// certificate of the same name are replaced.
func (a *Authority) Issue(folder, name string) (Files, int64, error) {
	files := Files{
		Certificate: filepath.Join(folder, name+".pem"), Key: filepath.Join(folder, name+".key"),
		Authority: filepath.Join(folder, AuthorityFile),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, 0, errors.Wrap(err, "make key")
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
	return files, unsigned.SerialNumber.Int64(), writeAll(map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: signed}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: encodedKey}),
		files.Authority:   a.encoded,
	})
}

func writeAll(contents map[string][]byte) error {
	for name, content := range contents {
		if err := replaceFile(name, content); err != nil {
			return err
		}
	}
	return nil
}

// replaceFile writes a file as a whole: a process that starts meanwhile reads the
// earlier content or the new one.
func replaceFile(name string, content []byte) error {
	written, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = written.Write(content)
	if err = errors.CombineErrors(err, written.Close()); err != nil {
		return errors.Wrap(err, "write certificate")
	}
	return errors.Wrap(os.Rename(written.Name(), name), "replace certificate")
}
