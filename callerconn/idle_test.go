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

func TestIdleConnectionIsClosed(t *testing.T) {
	inNetworkWithConns(t, func(g Gomega, conn net.Conn, server *callerconn.Conn, handled <-chan bool) {
		g.Expect(server.CloseIdle()).To(BeTrue())
		_, err := conn.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
		g.Expect(handled).NotTo(Receive())
	})
}

// TestConnectionWithAPartOfAHeadIsNotIdle has a request begin to arrive: the server still takes the connection for idle.
func TestConnectionWithAPartOfAHeadIsNotIdle(t *testing.T) {
	inNetworkWithConns(t, func(g Gomega, conn net.Conn, server *callerconn.Conn, handled <-chan bool) {
		send(g, conn, "GET /second HTTP/1.1\r\nHost: a\r\n")
		time.Sleep(time.Second)
		g.Expect(server.CloseIdle()).To(BeFalse())
		send(g, conn, "\r\n")
		receive(g, bufio.NewReader(conn))
		g.Expect(<-handled).To(BeTrue())
	})
}

// TestRequestReadWithTheOneBeforeIsRefused closes a connection between two requests that were read together.
func TestRequestReadWithTheOneBeforeIsRefused(t *testing.T) {
	inMemory(t, 0, func(g Gomega, conn net.Conn, _ <-chan measurement) {
		tracked := &callerconn.Conn{Conn: conn}
		g.Expect(tracked.CloseIdle()).To(BeTrue())
		g.Expect(tracked.Begin()).To(BeFalse())
	})
}

// TestBegunRequestKeepsItsConnection begins a request that was read with the one before.
func TestBegunRequestKeepsItsConnection(t *testing.T) {
	inNetworkWithConns(t, func(g Gomega, conn net.Conn, server *callerconn.Conn, handled <-chan bool) {
		g.Expect(server.Begin()).To(BeTrue())
		g.Expect(server.CloseIdle()).To(BeFalse())
		send(g, conn, "GET /second HTTP/1.1\r\nHost: a\r\n\r\n")
		receive(g, bufio.NewReader(conn))
		g.Expect(<-handled).To(BeTrue())
	})
}

// inNetworkWithConns is inNetwork with the server's side of the connection, after a first request on it. The channel receives
// whether each further request was begun.
func inNetworkWithConns(t *testing.T, run func(g Gomega, conn net.Conn, server *callerconn.Conn, handled <-chan bool)) {
	conns, handled := make(chan *callerconn.Conn, 10), make(chan bool, 10)
	handler := func(_ http.ResponseWriter, r *http.Request) {
		conn := callerconn.From(r.Context())
		conns <- conn
		handled <- conn.Begin()
	}
	inNetwork(t, handler, func(g Gomega, conn net.Conn, ends <-chan callerconn.End) {
		send(g, conn, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
		receive(g, bufio.NewReader(conn))
		<-ends
		<-handled
		time.Sleep(time.Second)
		run(g, conn, <-conns, handled)
	})
}
