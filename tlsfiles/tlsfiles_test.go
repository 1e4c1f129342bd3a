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
	created, err := certificates.NewAuthority(certificates.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return created
}

// issue writes a certificate into a folder and returns its files and its serial
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
	serverFiles, shown := issue(t, shared, t.TempDir())
	clientFiles, _ := issue(t, shared, t.TempDir())
	serial, err := handshake(t, source(t, serverFiles).ServerConfig(), source(t, clientFiles).ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(shown))
}

func TestStrangersAreRejected(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	ourFiles, _ := issue(t, ours, t.TempDir())
	theirFiles, _ := issue(t, theirs, t.TempDir())
	node, stranger := source(t, ourFiles), source(t, theirFiles)
	_, err := handshake(t, node.ServerConfig(), stranger.ClientConfig())
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(t, stranger.ServerConfig(), node.ClientConfig())
	g.Expect(err).To(HaveOccurred())
	// A caller without a certificate.
	_, err = handshake(t, node.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).To(HaveOccurred())
}

func TestRenewedCertificateIsShown(t *testing.T) {
	g := NewWithT(t)
	shared := newAuthority(t)
	folder := t.TempDir()
	files, first := issue(t, shared, folder)
	clientFiles, _ := issue(t, shared, t.TempDir())
	server, client := source(t, files), source(t, clientFiles)
	_, renewed := issue(t, shared, folder)
	g.Expect(renewed).NotTo(Equal(first))
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Certificate, later, later)).To(Succeed())
	server.mu.Lock()
	server.checked = time.Time{} // As if the interval between two looks had passed.
	server.mu.Unlock()
	serial, err := handshake(t, server.ServerConfig(), client.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(renewed))
}

func TestHalfWrittenFilesLeaveTheOldInUse(t *testing.T) {
	g := NewWithT(t)
	files, issued := issue(t, newAuthority(t), t.TempDir())
	kept := source(t, files)
	g.Expect(os.WriteFile(files.Key, []byte("half"), 0o600)).To(Succeed())
	later := time.Now().Add(time.Minute)
	g.Expect(os.Chtimes(files.Key, later, later)).To(Succeed())
	kept.mu.Lock()
	kept.checked = time.Time{}
	kept.mu.Unlock()
	certificate, _ := kept.current()
	g.Expect(certificate).NotTo(BeNil())
	g.Expect(certificate.Leaf.SerialNumber.Int64()).To(Equal(issued))
	_, err := NewSource(files)
	g.Expect(err).To(HaveOccurred())
}

// TestClientTrustsOneAuthority shows that callers and operators accept nodes of
// the named authority only.
func TestClientTrustsOneAuthority(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	files, shown := issue(t, ours, t.TempDir())
	foreign, _ := issue(t, theirs, t.TempDir())
	node := source(t, Files{Certificate: files.Certificate, Key: files.Key})
	trusting, err := ClientConfig(files.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	serial, err := handshake(t, node.ServerConfig(), trusting)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(shown))
	distrusting, err := ClientConfig(foreign.Authority)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(t, node.ServerConfig(), distrusting)
	g.Expect(err).To(HaveOccurred())
	_, err = ClientConfig(files.Key)
	g.Expect(err).To(HaveOccurred())
}
