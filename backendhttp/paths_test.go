package backendhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/gateway"
)

// helperAddress is the address of the node that opens tunnels in these tests.
const helperAddress = "10.0.0.2:7000"

// otherNode opens tunnels to one address, or fails with an error.
type otherNode struct {
	address string
	err     error
	opened  atomic.Int32
}

func (n *otherNode) Available() bool { return true }

func (n *otherNode) Open(ctx context.Context, _ string) (net.Conn, string, error) {
	if n.err != nil {
		return nil, "", n.err
	}
	n.opened.Add(1)
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", n.address)
	return conn, helperAddress, err
}

// newTunnelledTransport returns a transport whose own link fails with an error, or works if that is nil.
func newTunnelledTransport(t *testing.T, ownLink error, connClock *clock.Clock, node *otherNode) (*backendhttp.Transport, *backendpath.Tracker) {
	t.Helper()
	transport := backendhttp.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if ownLink != nil {
			return nil, ownLink
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}, connClock)
	tracker := backendpath.New(backendpath.Options{
		Now: time.Now, Others: func(int) []string { return nil }, MayTunnel: node.Available, Wake: func() {}, Changed: func(backendpath.Change) {},
	})
	transport.UseTunnels(tracker, node)
	t.Cleanup(transport.CloseIdle)
	return transport, tracker
}

// send sends a request with a body to an address.
func send(t *testing.T, transport *backendhttp.Transport, address string) (*http.Response, *backendhttp.Conn, error) {
	t.Helper()
	request, err := backendhttp.NewRequest(t.Context(), http.MethodPut, address, "/x", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	return transport.Exchange(request, backendhttp.NoIdentifier)
}

// TestUnsentRequestGoesThroughAnotherNode has the node's own link refuse connections. Later requests do not try it.
func TestUnsentRequestGoesThroughAnotherNode(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	defer server.Close()
	node := &otherNode{address: server.Listener.Addr().String()}
	transport, tracker := newTunnelledTransport(t, syscall.ECONNREFUSED, clock.Runtime(), node)
	for range 2 {
		response, conn, err := send(t, transport, "10.0.0.9:80")
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		_ = response.Body.Close()
		g.Expect(string(body)).To(Equal("body"))
		g.Expect(conn.Via()).To(Equal(helperAddress))
		g.Expect(tracker.Choose("10.0.0.9:80")).To(Equal(backendpath.Tunnel))
	}
}

// TestRequestOfUnknownOutcomeIsNotSentAgain has a backend close the connection after it has received the request: another path
// must not be tried.
func TestRequestOfUnknownOutcomeIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	closing := listen(t)
	go func() {
		conn, err := closing.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, len("PUT /x")))
		_ = conn.Close()
	}()
	node := &otherNode{address: closing.Addr().String()}
	transport, _ := newTunnelledTransport(t, nil, clock.Runtime(), node)
	_, _, err := send(t, transport, closing.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, gateway.ErrNotSent)).To(BeFalse())
	g.Expect(node.opened.Load()).To(BeZero())
}

// TestUnsentOverBothPaths checks the error of a request that no node can send.
func TestUnsentOverBothPaths(t *testing.T) {
	g := NewWithT(t)
	transport, _ := newTunnelledTransport(t, syscall.ECONNREFUSED, clock.Runtime(), &otherNode{err: backendhttp.ErrNoTunnel})
	_, _, err := send(t, transport, "10.0.0.9:80")
	g.Expect(errors.Is(err, gateway.ErrNotSent)).To(BeTrue())
	g.Expect(err).To(MatchError(ContainSubstring(backendhttp.ErrNoTunnel.Error())))
}

// TestRefusalNeedsAnotherNode guards against taking a refusal of the node's own link for the end of a backend's process.
func TestRefusalNeedsAnotherNode(t *testing.T) {
	live := listen(t)
	for name, row := range map[string]struct {
		node    *otherNode
		refuses bool
	}{
		"another node connects":   {&otherNode{address: live.Addr().String()}, false},
		"it is refused as well":   {&otherNode{err: syscall.ECONNREFUSED}, true},
		"it gets no answer":       {&otherNode{err: context.DeadlineExceeded}, false},
		"no other node has tried": {&otherNode{err: backendhttp.ErrNoTunnel}, false},
	} {
		t.Run(name, func(t *testing.T) {
			transport, _ := newTunnelledTransport(t, syscall.ECONNREFUSED, clock.Runtime(), row.node)
			NewWithT(t).Expect(transport.Refuses(t.Context(), "10.0.0.9:80")).To(Equal(row.refuses))
		})
	}
}

// TestIdleTunnelsAreClosedAfterSuspension is TestIdleConnectionsAreClosedAfterSuspension for connections through another node.
func TestIdleTunnelsAreClosedAfterSuspension(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var suspended atomic.Int64
	began := time.Now()
	connClock := clock.New(func() time.Duration { return time.Since(began) + time.Duration(suspended.Load()) })
	node := &otherNode{address: server.Listener.Addr().String()}
	transport, _ := newTunnelledTransport(t, syscall.ECONNREFUSED, connClock, node)
	request := func() {
		response, _, err := send(t, transport, "10.0.0.9:80")
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	request()
	request()
	g.Expect(node.opened.Load()).To(BeEquivalentTo(1))
	suspended.Store(int64(time.Minute))
	connClock.Exact()
	request()
	g.Expect(node.opened.Load()).To(BeEquivalentTo(2))
}
