package callerconn_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/callerconn"
)

// TestStoppedListenerServesOpenConnections stops a listener with one connection that has had no request.
func TestStoppedListenerServesOpenConnections(t *testing.T) {
	g := NewWithT(t)
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := callerconn.NewListener(accepting, time.Now)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { callerconn.From(r.Context()).Begin() })
	server := &http.Server{Handler: handler, ConnContext: callerconn.NewContext, ConnState: callerconn.Track, ReadHeaderTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", accepting.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	g.Eventually(listener.Unbegun).Should(Equal(1))
	listener.StopAccepting()
	_, err = net.Dial("tcp", accepting.Addr().String())
	g.Expect(err).To(HaveOccurred())
	reader := bufio.NewReader(conn)
	for range 2 {
		send(g, conn, "GET /served HTTP/1.1\r\nHost: a\r\n\r\n")
		receive(g, reader)
		g.Expect(listener.Unbegun()).To(BeZero())
	}
	g.Expect(served).NotTo(Receive())
	g.Expect(server.Close()).To(Succeed())
	g.Eventually(served).Should(Receive(MatchError(http.ErrServerClosed)))
}

// TestConnectionThatEndsWithoutARequestIsNotAwaited closes a connection before anything was sent.
func TestConnectionThatEndsWithoutARequestIsNotAwaited(t *testing.T) {
	g := NewWithT(t)
	accepting, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := callerconn.NewListener(accepting, time.Now)
	serveEndsOf(t, listener, writeShort)
	conn, err := net.Dial("tcp", accepting.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(listener.Unbegun).Should(Equal(1))
	g.Expect(conn.Close()).To(Succeed())
	g.Eventually(listener.Unbegun).Should(BeZero())
}
