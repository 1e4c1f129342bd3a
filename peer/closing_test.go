package peer

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
)

// slowConn is a connection whose end takes a while to be noticed.
type slowConn struct{ net.Conn }

const slowEnd = 300 * time.Millisecond

// Read implements net.Conn.
func (c slowConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if err != nil {
		time.Sleep(slowEnd)
	}
	return count, err
}

// TestReadersOfClosingSessionUseNoProcessor guards against streams that are read in a busy loop while their session is being closed:
// yamux announces the end of a session before it ends its streams.
func TestReadersOfClosingSessionUseNoProcessor(t *testing.T) {
	const readers = 8
	g := NewWithT(t)
	own, other := net.Pipe()
	server, err := yamux.Server(other, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	session, err := newClientSession(slowConn{own})
	g.Expect(err).NotTo(HaveOccurred())
	var reading sync.WaitGroup
	for range readers {
		opened, err := session.mux.OpenStream()
		g.Expect(err).NotTo(HaveOccurred())
		reading.Go(func() { _, _ = opened.Read(make([]byte, 1)) })
	}
	before := processorTime(g)
	g.Expect(session.mux.Close()).To(Succeed())
	reading.Wait()
	g.Expect(processorTime(g)-before).To(BeNumerically("<", slowEnd/3), "readers wait for the end of their streams")
}

func processorTime(g *WithT) time.Duration {
	var usage syscall.Rusage
	g.Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
