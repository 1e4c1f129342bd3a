package soak

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// newCallers is how many callers have opened a connection when a node stops.
const newCallers = 20

// TestRequestsOnNewConnectionsOfAStoppingNodeAreAnswered guards against requests that a node has read whole and leaves without a
// response: their callers have connected before it stopped accepting, and send afterwards.
func TestRequestsOnNewConnectionsOfAStoppingNodeAreAnswered(t *testing.T) {
	h := newHarnessWith(t, 72, harnessOptions{nodes: 1, zones: 1, engines: 6, plain: 4})
	defer h.close()
	h.awaitReady()
	g := NewWithT(t)
	n := h.nodes[0]
	connect := func() (net.Conn, error) {
		return net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", n.ports[0]), time.Second)
	}
	h.signal(n, syscall.SIGTERM)
	var conns []net.Conn
	for range newCallers {
		conn, err := connect()
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, conn)
	}
	g.Eventually(func() error {
		conn, err := connect()
		if err == nil {
			_ = conn.Close()
		}
		return err
	}, 5*time.Second, 10*time.Millisecond).Should(HaveOccurred(), "the node stops accepting")
	callers := &crowd{node: n}
	var served atomic.Int64
	var sending sync.WaitGroup
	for i, conn := range conns {
		sending.Go(func() {
			defer func() { _ = conn.Close() }()
			if callers.exchange(conn, bufio.NewReader(conn), fmt.Sprintf("stopping%d-%d", os.Getpid(), i)) {
				served.Add(1)
			}
		})
	}
	sending.Wait()
	t.Logf("%d of %d requests answered", served.Load(), newCallers)
	g.Expect(served.Load()).To(BeEquivalentTo(newCallers))
	g.Eventually(n.ended, 10*time.Second).Should(BeClosed())
	g.Expect(n.process.ProcessState.ExitCode()).To(BeZero())
}
