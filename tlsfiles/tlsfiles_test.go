package tlsfiles

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/sim/certificates"
)

func newAuthority(t *testing.T) *certificates.Authority {
	t.Helper()
	authority, err := certificates.NewAuthority(certificates.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// issue writes a certificate to a folder and returns its files and its serial
// number.
func issue(t *testing.T, authority *certificates.Authority, folder string) (Files, int64) {
	t.Helper()
	files, serial, err := authority.Issue(folder, "node")
	if err != nil {
		t.Fatal(err)
	}
	return Files(files), serial
}

// handshake connects a client to a server over loopback and returns the serial
// number of the certificate that the server presented.
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
		_, _ = accepted.Write([]byte("x")) // Fails for a rejected client, which then reads nothing.
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

func newSource(t *testing.T, files Files) *Source {
	t.Helper()
	source, err := NewSource(files)
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func TestNodesOfOneAuthorityConnect(t *testing.T) {
	g := NewWithT(t)
	shared := newAuthority(t)
	serverFiles, issued := issue(t, shared, t.TempDir())
	clientFiles, _ := issue(t, shared, t.TempDir())
	serial, err := handshake(t, newSource(t, serverFiles).ServerConfig(), newSource(t, clientFiles).ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(issued))
}

func TestOtherAuthorityIsRejected(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	ourFiles, _ := issue(t, ours, t.TempDir())
	theirFiles, _ := issue(t, theirs, t.TempDir())
	node, other := newSource(t, ourFiles), newSource(t, theirFiles)
	_, err := handshake(t, node.ServerConfig(), other.ClientConfig())
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(t, other.ServerConfig(), node.ClientConfig())
	g.Expect(err).To(HaveOccurred())
	// A client without a certificate.
	_, err = handshake(t, node.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).To(HaveOccurred())
}

func TestRenewedCertificateIsUsed(t *testing.T) {
	g := NewWithT(t)
	shared := newAuthority(t)
	folder := t.TempDir()
	files, first := issue(t, shared, folder)
	clientFiles, _ := issue(t, shared, t.TempDir())
	server, client := newSource(t, files), newSource(t, clientFiles)
	_, renewed := issue(t, shared, folder)
	g.Expect(renewed).NotTo(Equal(first))
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	server.mu.Lock()
	server.checkedAt = time.Time{} // Makes the next call check the files.
	server.mu.Unlock()
	serial, err := handshake(t, server.ServerConfig(), client.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(renewed))
}

// TestPartialFileKeepsPreviousCertificate replaces the key file by a partial one: a loaded
// source must keep its certificate, and a new one must report an error.
func TestPartialFileKeepsPreviousCertificate(t *testing.T) {
	g := NewWithT(t)
	files, issued := issue(t, newAuthority(t), t.TempDir())
	reloaded := newSource(t, files)
	g.Expect(os.WriteFile(files.Key, []byte("half"), 0o600)).To(Succeed())
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Key, later, later)).To(Succeed())
	reloaded.mu.Lock()
	reloaded.checkedAt = time.Time{}
	reloaded.mu.Unlock()
	certificate, _ := reloaded.current()
	g.Expect(certificate).NotTo(BeNil())
	g.Expect(certificate.Leaf.SerialNumber.Int64()).To(Equal(issued))
	_, err := NewSource(files)
	g.Expect(err).To(HaveOccurred())
}

// TestClientTrustsOneAuthority checks that callers and operators accept only nodes
// with a certificate of the given authority.
func TestClientTrustsOneAuthority(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	files, issued := issue(t, ours, t.TempDir())
	otherFiles, _ := issue(t, theirs, t.TempDir())
	node := newSource(t, Files{Certificate: files.Certificate, Key: files.Key})
	trusting, err := ClientConfig(files.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	serial, err := handshake(t, node.ServerConfig(), trusting)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(issued))
	mismatched, err := ClientConfig(otherFiles.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(t, node.ServerConfig(), mismatched)
	g.Expect(err).To(HaveOccurred())
	_, err = ClientConfig(files.Key)
	g.Expect(err).To(HaveOccurred())
}
