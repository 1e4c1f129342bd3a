package callerconn_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/callerconn"
)

const (
	// heldBytes are fewer than the buffers of a connection take, and more than the caller's own: the rest is in the server's
	// socket when the handler returns.
	heldBytes = 512 << 10
	// callerBuffer is the size of the caller's receive buffer.
	callerBuffer = 64 << 10
	// earlyBytes are more than the server reads ahead.
	earlyBytes = 64 << 10
	// lateParts is how many parts are sent after the response.
	lateParts = 20
)

// dialNarrow opens a real connection whose receive buffer is small.
func dialNarrow(g Gomega, address string) *net.TCPConn {
	conn, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	narrow, ok := conn.(*net.TCPConn)
	g.Expect(ok).To(BeTrue())
	g.Expect(narrow.SetReadBuffer(callerBuffer)).To(Succeed())
	return narrow
}

// TestEarlyBytesDoNotCutAResponseThatEndsItsConnection has a caller send more than its request, and read the response slowly: the
// server's side of the connection still holds a part of it when the connection is closed.
func TestEarlyBytesDoNotCutAResponseThatEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	returned := make(chan struct{})
	ends := serveEnds(t, listener, func(w http.ResponseWriter, _ *http.Request) {
		defer close(returned)
		_, _ = w.Write(make([]byte, heldBytes))
	})
	conn := dialNarrow(g, listener.Addr().String())
	defer func() { _ = conn.Close() }()
	send(g, conn, fmt.Sprintf("GET /early HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n%s", make([]byte, earlyBytes)))
	<-returned
	g.Expect(readSlowly(g, conn)).To(BeNumerically(">", heldBytes))
	g.Expect(conn.Close()).To(Succeed())
	end := <-ends
	g.Expect(end.Delivered()).To(BeTrue(), "%+v", end)
}

// TestLateBytesDoNotCutAResponseThatEndsItsConnection has a caller send more once its response has been written.
func TestLateBytesDoNotCutAResponseThatEndsItsConnection(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	written := make(chan struct{})
	serveEnds(t, listener, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, heldBytes))
		close(written)
	})
	conn := dialNarrow(g, listener.Addr().String())
	defer func() { _ = conn.Close() }()
	send(g, conn, "GET /late HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	<-written
	first := make([]byte, callerBuffer)
	received, err := io.ReadFull(conn, first)
	g.Expect(err).NotTo(HaveOccurred())
	for range lateParts {
		// A connection that has been reset may refuse the part; what is read tells.
		_, _ = conn.Write([]byte("\r\n"))
		time.Sleep(time.Millisecond)
	}
	g.Expect(received + readSlowly(g, conn)).To(BeNumerically(">", heldBytes))
}

// readSlowly reads a connection to its end in small parts and returns the number of bytes.
func readSlowly(g Gomega, conn net.Conn) int {
	part := make([]byte, 16<<10)
	received := 0
	for {
		count, err := conn.Read(part)
		received += count
		if errors.Is(err, io.EOF) {
			return received
		}
		g.Expect(err).NotTo(HaveOccurred(), "after %d bytes", received)
		time.Sleep(time.Millisecond)
	}
}

// serveUnread serves a caller that has sent too much and reads nothing. It returns how long its connection is kept after the
// response was written.
func serveUnread(g Gomega, t *testing.T, prepare func(listener *callerconn.Listener)) time.Duration {
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := callerconn.NewListener(accepting, time.Now)
	prepare(listener)
	written := make(chan time.Time, 1)
	ends := serveEndsOf(t, listener, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, heldBytes))
		written <- time.Now()
	})
	conn := dialNarrow(g, accepting.Addr().String())
	defer func() { _ = conn.Close() }()
	send(g, conn, fmt.Sprintf("GET /unread HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n%s", make([]byte, earlyBytes)))
	end := <-ends
	g.Expect(end.Closed).To(BeTrue())
	return time.Since(<-written)
}

func TestCallerThatDoesNotReadIsNotWaitedForLong(t *testing.T) {
	g := NewWithT(t)
	kept := serveUnread(g, t, func(*callerconn.Listener) {})
	g.Expect(kept).To(BeNumerically("~", time.Second, 500*time.Millisecond))
}

func TestConnectionsOfAListenerAreClosedAtOnce(t *testing.T) {
	g := NewWithT(t)
	kept := serveUnread(g, t, (*callerconn.Listener).CloseAtOnce)
	g.Expect(kept).To(BeNumerically("<", 500*time.Millisecond))
}
