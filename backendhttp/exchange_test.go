package backendhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/gateway"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// exchange sends one request to an address and returns the error.
func exchange(t *testing.T, address string) error {
	t.Helper()
	transport := backendhttp.NewTransport(new(net.Dialer).DialContext, clock.Runtime())
	t.Cleanup(transport.CloseIdle)
	request, err := backendhttp.NewRequest(t.Context(), http.MethodPut, address, "/x?y=1", []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, _, err := transport.Exchange(request, backendhttp.NoIdentifier)
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

// TestNotSent distinguishes a backend that was never reached from one that may have run the request
// before it closed the connection.
func TestNotSent(t *testing.T) {
	g := NewWithT(t)
	closed := listen(t)
	g.Expect(closed.Close()).To(Succeed())
	notSent := exchange(t, closed.Addr().String())
	g.Expect(errors.Is(notSent, gateway.ErrNotSent)).To(BeTrue())
	g.Expect(notSent).To(MatchError(ContainSubstring("connection refused")))

	closing := listen(t)
	received := make(chan []byte, 1)
	go func() {
		conn, err := closing.Accept()
		if err != nil {
			return
		}
		head := make([]byte, len("PUT /x?y=1"))
		_, _ = io.ReadFull(conn, head)
		received <- head
		_ = conn.Close()
	}()
	err := exchange(t, closing.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, gateway.ErrNotSent)).To(BeFalse())
	g.Expect(string(<-received)).To(Equal("PUT /x?y=1"))
}

// TestIdleConnectionsAreClosedAfterSuspension guards against sending a request on an idle
// connection from before a suspension of the machine. A backend closes it after some seconds, which
// the timers of a suspended machine do not count, and the request would be lost.
func TestIdleConnectionsAreClosedAfterSuspension(t *testing.T) {
	g := NewWithT(t)
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	var suspended atomic.Int64
	started := time.Now()
	source := clock.New(func() time.Duration { return time.Since(started) + time.Duration(suspended.Load()) })
	transport := backendhttp.NewTransport(new(net.Dialer).DialContext, source)
	t.Cleanup(transport.CloseIdle)
	send := func() {
		request, err := backendhttp.NewRequest(t.Context(), http.MethodPut, server.Listener.Addr().String(), "/x", []byte("body"))
		g.Expect(err).NotTo(HaveOccurred())
		response, _, err := transport.Exchange(request, backendhttp.NoIdentifier)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	send()
	send()
	g.Expect(opened.Load()).To(BeEquivalentTo(1))
	suspended.Add(int64(10 * time.Second))
	source.Exact()
	send()
	g.Expect(opened.Load()).To(BeEquivalentTo(2))
}

// TestIdleConnectionsStayAfterAnUnresponsiveOne ends a call on a reused connection because its backend is silent. The other idle
// connections to the backend may be unresponsive as well, and must not be used any more.
func TestIdleConnectionsStayAfterAnUnresponsiveOne(t *testing.T) {
	g := NewWithT(t)
	const connections = 2
	var opened atomic.Int32
	var together sync.WaitGroup
	together.Add(connections)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/together":
			together.Done()
			together.Wait()
		case "/silent":
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	transport := backendhttp.NewTransport(new(net.Dialer).DialContext, clock.Runtime())
	t.Cleanup(transport.CloseIdle)
	send := func(ctx context.Context, path string) error {
		request, err := backendhttp.NewRequest(ctx, http.MethodPut, server.Listener.Addr().String(), path, []byte("body"))
		if err != nil {
			return err
		}
		response, _, err := transport.Exchange(request, backendhttp.NoIdentifier)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	var sending sync.WaitGroup
	for range connections {
		sending.Go(func() { g.Expect(send(t.Context(), "/together")).To(Succeed()) })
	}
	sending.Wait()
	g.Expect(opened.Load()).To(BeEquivalentTo(connections))
	call, end := context.WithCancelCause(t.Context())
	time.AfterFunc(50*time.Millisecond, func() { end(gateway.ErrUnresponsive) })
	g.Expect(send(call, "/silent")).To(MatchError(gateway.ErrUnresponsive))
	g.Expect(send(t.Context(), "/x")).To(Succeed())
	g.Expect(opened.Load()).To(BeEquivalentTo(connections + 1))
}
