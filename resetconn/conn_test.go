package resetconn

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// pair returns a dialed connection on loopback and the accepted one.
func pair(t *testing.T) (dialed, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	other, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = other.Close()
	})
	return conn.(*net.TCPConn), other.(*net.TCPConn)
}

// more is more than the buffers of a connection hold.
var more = make([]byte, 16<<20)

// TestResetDuringWriteIsNoRegularEnd resets connections to which more is being written than they take. The error went to the write, and
// the read saw a regular end.
func TestResetDuringWriteIsNoRegularEnd(t *testing.T) {
	g := NewWithT(t)
	for range 50 {
		dialed, accepted := pair(t)
		conn := New(dialed)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = conn.Write(more)
		}()
		_, err := accepted.Write([]byte("response"))
		g.Expect(err).NotTo(HaveOccurred())
		received := make([]byte, len("response"))
		_, err = io.ReadFull(conn, received)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(accepted.SetLinger(0)).To(Succeed())
		g.Expect(accepted.Close()).To(Succeed())
		_, err = conn.Read(received)
		g.Expect(err).To(HaveOccurred())
		g.Expect(err).NotTo(MatchError(io.EOF))
		<-ended
	}
}

// TestRegularEndDuringWriteIsReported has the other side close its direction only and read on.
func TestRegularEndDuringWriteIsReported(t *testing.T) {
	g := NewWithT(t)
	dialed, accepted := pair(t)
	conn := New(dialed)
	g.Expect(accepted.CloseWrite()).To(Succeed())
	go func() {
		time.Sleep(10 * time.Millisecond)
		_, _ = io.Copy(io.Discard, accepted)
	}()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(more)
		written <- err
	}()
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(<-written).To(Succeed())
}

// TestCloseEndsReadThatWaitsForWrite closes a connection whose other side has closed its direction and does not read.
func TestCloseEndsReadThatWaitsForWrite(t *testing.T) {
	g := NewWithT(t)
	dialed, accepted := pair(t)
	conn := New(dialed)
	writing := make(chan struct{})
	go func() {
		close(writing)
		_, _ = conn.Write(more)
	}()
	<-writing
	g.Expect(accepted.CloseWrite()).To(Succeed())
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	time.AfterFunc(20*time.Millisecond, func() { _ = conn.Close() })
	g.Eventually(read, "5s").Should(Receive(HaveOccurred()))
}
