package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func template(serial int64, name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	root := template(1, "authority")
	root.IsCA, root.BasicConstraintsValid, root.KeyUsage = true, true, x509.KeyUsageCertSign
	data, err := x509.CreateCertificate(rand.Reader, root, root, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(data)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{parsed, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data})}
}

// issue writes a certificate, its key and the authority into a folder.
func (a *authority) issue(t *testing.T, folder string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	data, err := x509.CreateCertificate(rand.Reader, template(serial, "node"), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "authority.pem")}
	for name, content := range map[string][]byte{
		files.Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data}),
		files.Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encoded}),
		files.Authority:   a.pem,
	} {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// handshake connects a client to a server over loopback and returns the serial
// number that the server showed.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = accepted.Write([]byte("x")) // Fails for a stranger, who then reads nothing.
		_ = accepted.Close()
	}()
	dialed, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = dialed.Close() }()
	_, err = dialed.Read(make([]byte, 1))
	return dialed.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), err
}

func source(t *testing.T, files Files) *Source {
	t.Helper()
	created, err := NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return created
}

func TestNodesOfOneAuthorityConnect(t *testing.T) {
	g := NewWithT(t)
	shared := newAuthority(t)
	server, client := source(t, shared.issue(t, t.TempDir(), 2)), source(t, shared.issue(t, t.TempDir(), 3))
	serial, err := handshake(t, server.Server(), client.Client())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(BeEquivalentTo(2))
}

func TestStrangersAreRejected(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	node, stranger := source(t, ours.issue(t, t.TempDir(), 2)), source(t, theirs.issue(t, t.TempDir(), 3))
	_, err := handshake(t, node.Server(), stranger.Client())
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(t, stranger.Server(), node.Client())
	g.Expect(err).To(HaveOccurred())
	// A caller without a certificate.
	_, err = handshake(t, node.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).To(HaveOccurred())
}

func TestRenewedCertificateIsShown(t *testing.T) {
	g := NewWithT(t)
	shared := newAuthority(t)
	folder := t.TempDir()
	files := shared.issue(t, folder, 2)
	server, client := source(t, files), source(t, shared.issue(t, t.TempDir(), 3))
	shared.issue(t, folder, 9)
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	server.mu.Lock()
	server.checked = time.Time{} // As if the interval between two looks had passed.
	server.mu.Unlock()
	serial, err := handshake(t, server.Server(), client.Client())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(BeEquivalentTo(9))
}

func TestHalfWrittenFilesLeaveTheOldInUse(t *testing.T) {
	g := NewWithT(t)
	files := newAuthority(t).issue(t, t.TempDir(), 2)
	kept := source(t, files)
	g.Expect(os.WriteFile(files.Key, []byte("half"), 0o600)).To(Succeed())
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Key, later, later)).To(Succeed())
	kept.mu.Lock()
	kept.checked = time.Time{}
	kept.mu.Unlock()
	certificate, _ := kept.current()
	g.Expect(certificate).NotTo(BeNil())
	g.Expect(certificate.Leaf.SerialNumber.Int64()).To(BeEquivalentTo(2))
	_, err := NewSource(files)
	g.Expect(err).To(HaveOccurred())
}
