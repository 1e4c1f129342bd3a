package callerconn_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/sim/memnet"
)

// serveEnds serves a handler on a listener until the test ends, and returns how its responses end.
func serveEnds(t *testing.T, listener net.Listener, handler http.HandlerFunc) <-chan callerconn.End {
	return serveEndsOf(t, callerconn.NewListener(listener, time.Now), handler)
}

// serveEndsOf is serveEnds for a listener that the test goes on to use.
func serveEndsOf(t *testing.T, listener *callerconn.Listener, handler http.HandlerFunc) <-chan callerconn.End {
	ends := make(chan callerconn.End, 10)
	httpServer := &http.Server{
		ConnContext: callerconn.NewContext, ConnState: callerconn.Track, ReadHeaderTimeout: time.Minute,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			callerconn.From(r.Context()).OnEnd(func(end callerconn.End) { ends <- end })
			handler(w, r)
		}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = httpServer.Serve(listener) // Returns when it is closed.
	}()
	t.Cleanup(func() {
		_ = httpServer.Close()
		<-ended
	})
	return ends
}

// inNetwork runs a test in virtual time with a server and one connection to it.
func inNetwork(t *testing.T, handler http.HandlerFunc, run func(g Gomega, conn net.Conn, ends <-chan callerconn.End)) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.NewNetwork(memnet.NewLinkFilter())
		ends := serveEnds(t, network.Listen(server), handler)
		conn, err := network.Dial(t.Context(), caller, server)
		g.Expect(err).NotTo(HaveOccurred())
		run(g, conn, ends)
		_ = conn.Close() // The test may have closed it.
	})
}

// writeShort writes a response that the server holds in its buffer until the handler has returned.
func writeShort(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("short")) }

func TestDeliveredResponseIsReported(t *testing.T) {
	inNetwork(t, writeShort, func(g Gomega, conn net.Conn, ends <-chan callerconn.End) {
		reader := bufio.NewReader(conn)
		for range 2 {
			send(g, conn, "GET /whole HTTP/1.1\r\nHost: a\r\n\r\n")
			receive(g, reader)
			end := <-ends
			g.Expect(end).To(Equal(callerconn.End{}))
			g.Expect(end.Delivered()).To(BeTrue())
		}
		send(g, conn, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		receive(g, reader)
		g.Expect(<-ends).To(Equal(callerconn.End{Closed: true}))
	})
}

// TestResponseCutAfterItsHandlerIsReported has the caller's connection end while the handler works: what it writes is lost after it
// has returned.
func TestResponseCutAfterItsHandlerIsReported(t *testing.T) {
	const work = 2 * time.Second
	handler := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		writeShort(w, r)
	}
	inNetwork(t, handler, func(g Gomega, conn net.Conn, ends <-chan callerconn.End) {
		send(g, conn, "GET /cut HTTP/1.1\r\nHost: a\r\n\r\n")
		time.Sleep(work / 2)
		g.Expect(conn.Close()).To(Succeed())
		end := <-ends
		g.Expect(end.Err).To(HaveOccurred())
		g.Expect(end.Delivered()).To(BeFalse())
	})
}

// TestUnreadBytesAtCloseAreReported has a caller send more than its request, on a real connection, and not read its response: the
// operating system resets the connection that the server closes.
func TestUnreadBytesAtCloseAreReported(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	const (
		// responseBytes are more than the buffers of the connection take, and extraBytes more than the server reads ahead.
		responseBytes = 8 << 20
		extraBytes    = 1 << 20
	)
	ends := serveEnds(t, listener, func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		_, _ = w.Write(make([]byte, responseBytes))
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	send(g, conn, "GET /early HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_, err = conn.Write(make([]byte, extraBytes))
	g.Expect(err).NotTo(HaveOccurred())
	end := <-ends
	g.Expect(end.Closed).To(BeTrue())
	g.Expect(end.Err).To(HaveOccurred())
	g.Expect(end.UnreadBytes).To(BeNumerically(">", 0))
	g.Expect(end.UnsentBytes).To(BeNumerically(">", 0))
	g.Expect(end.Delivered()).To(BeFalse())
}
