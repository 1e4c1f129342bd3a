package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

const (
	// crowdSize is the number of callers, more than a node with fewDescriptors keeps connections of.
	crowdSize = 110
	// requestsPerConnection is how many requests each of them sends on one connection, and crowdPause the longest pause between two.
	requestsPerConnection = 6
	crowdPause            = 30 * time.Millisecond
	// crowdDuration is how long they send.
	crowdDuration = 6 * time.Second
)

// crowd are callers that keep more connections together than a node does.
type crowd struct {
	node *node

	mu       sync.Mutex
	sent     int
	unserved []string
}

// TestRequestsOfConnectionsTakenForIdleAreAnswered guards against a connection that is closed as idle, to make room for a new one,
// while a request of it has been read: the request runs and gets no answer.
func TestRequestsOfConnectionsTakenForIdleAreAnswered(t *testing.T) {
	h := newHarnessWith(t, 72, harnessOptions{nodes: 1, zones: 1, engines: 6, plain: 4, descriptors: fewDescriptors})
	defer h.close()
	h.awaitReady()
	callers := &crowd{node: h.nodes[0]}
	until := time.Now().Add(crowdDuration)
	var sending sync.WaitGroup
	for i := range crowdSize {
		random := rand.New(rand.NewPCG(72, uint64(i)))
		sending.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				callers.use(fmt.Sprintf("crowd%d-%d-%d", os.Getpid(), i, number), random)
			}
		})
	}
	sending.Wait()
	runs := h.runs()
	var lost []string
	for _, id := range callers.unserved {
		if runs[id] > 0 {
			lost = append(lost, id)
		}
	}
	t.Logf("%d requests, %d without a response, %d of them ran", callers.sent, len(callers.unserved), len(lost))
	NewWithT(t).Expect(lost).To(BeEmpty())
}

// use sends requests on one connection until it ends.
func (c *crowd) use(prefix string, random *rand.Rand) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("127.0.0.1:%d", c.node.ports[0]), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for i := range requestsPerConnection {
		if !c.exchange(conn, reader, fmt.Sprintf("%s-%d", prefix, i)) {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(crowdPause))))
	}
}

// exchange sends a request that must not run twice, and reports whether it got a whole response.
func (c *crowd) exchange(conn net.Conn, reader *bufio.Reader, id string) bool {
	header := http.Header{}
	standin.CallerHeaders{ID: id, Wait: routeTimeout, Key: keyOf(steadyTenant)}.Set(header)
	request := &headWriter{conn: conn}
	request.printf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n", kindNonIdempotent, routeHost)
	for name := range header {
		request.printf("%s: %s\r\n", name, header.Get(name))
	}
	request.printf("\r\n")
	isServed := receiveWhole(conn, reader)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if !isServed {
		c.unserved = append(c.unserved, id)
	}
	return isServed
}

// receiveWhole reports whether a whole response arrives.
func receiveWhole(conn net.Conn, reader *bufio.Reader) bool {
	if conn.SetReadDeadline(time.Now().Add(2*routeTimeout)) != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}
