package backendhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backendpath"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/requesttarget"
	"github.com/reelrun/reelrun/resetconn"
	"github.com/reelrun/reelrun/responsehead"
)

const (
	// dialTimeout bounds the opening of a connection to a backend.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to a backend is kept.
	idleTimeout = 2 * time.Second
	// maxIdlePerBackend is how many idle connections to a backend are kept.
	maxIdlePerBackend = 16
	// noIdleConnections has a transport keep no idle connection.
	noIdleConnections = -1
	// maxResponseHeadBytes bounds the head of a response.
	maxResponseHeadBytes = 64 << 10
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn counts the bytes written to it, so that a failed call can tell whether anything was sent.
type Conn struct {
	net.Conn
	written atomic.Int64
	// via is the address of the node through which the connection was opened; empty for a direct one.
	via string
	// heard is called for each successful read; nil for nothing.
	heard func()
	// head checks the heads of its responses.
	head responsehead.Scanner
	// carried are the identifiers of its requests.
	carried recentIdentifiers
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.head.Scan(data[:n])
	if n > 0 && c.heard != nil {
		c.heard()
	}
	return n, err
}

// Via returns the address of the node through which the connection was opened, or "" for a direct one.
func (c *Conn) Via() string {
	if c == nil {
		return ""
	}
	return c.via
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// Transport sends requests to backends. It is safe for concurrent use.
type Transport struct {
	dial DialFunc
	// direct opens connections over the node's own link, and tunnelled through other nodes; tunnelled is nil before
	// UseTunnels. separate opens one for each request, over the node's own link.
	direct, tunnelled, separate *http.Transport
	tunnels                     Tunnels
	tracker                     *backendpath.Tracker
	clock                       *clock.Clock
	// lastUsedAt is when a request was last sent, in nanoseconds of the clock since the Unix epoch.
	lastUsedAt atomic.Int64
}

// NewTransport returns a transport that opens connections with dial and measures by connClock how long
// they are idle.
func NewTransport(dial DialFunc, connClock *clock.Clock) *Transport {
	t := &Transport{clock: connClock, dial: dial}
	dialDirect := func(ctx context.Context, _, address string) (net.Conn, error) { return t.DialDirect(ctx, address) }
	t.direct = newHTTPTransport(idleTimeout, dialDirect)
	t.separate = newHTTPTransport(idleTimeout, dialDirect)
	t.separate.MaxIdleConnsPerHost = noIdleConnections
	return t
}

// newHTTPTransport returns a transport for one path.
func newHTTPTransport(idleTimeout time.Duration, dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerBackend,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
}

// DialDirect opens a connection over the node's own link.
func (t *Transport) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.directTimeout())
	defer cancel()
	conn, err := t.dial(ctx, "tcp", address)
	if err != nil {
		t.recordDirectFailure(ctx, address)
		return nil, dialError{err}
	}
	opened := &Conn{Conn: resetconn.New(conn)}
	if t.tracker != nil {
		t.tracker.DirectOpened(address)
		opened.heard = t.tracker.Heard
	}
	return opened, nil
}

// CloseIdle closes the idle connections of all paths.
func (t *Transport) CloseIdle() {
	t.direct.CloseIdleConnections()
	if t.tunnelled != nil {
		t.tunnelled.CloseIdleConnections()
	}
}

// singleUseBody is a request body that the transport cannot send again. With another body, it would
// retry requests of some methods without being told to.
type singleUseBody struct {
	io.Reader
	content []byte
}

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// NewRequest returns a request to a backend. The URI is a path with its query, which is sent as it is.
func NewRequest(ctx context.Context, method, address, uri string, body []byte) (*http.Request, error) {
	target, err := requesttarget.URL(address, uri)
	if err != nil {
		return nil, err
	}
	request := &http.Request{
		Method: method, URL: target, Host: address, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: singleUseBody{bytes.NewReader(body), body}, ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx), nil
}

// closeStaleIdle closes the idle connections if none has been used for longer than idleTimeout. The
// transport's idle timers stop while the machine is suspended, but backends close the connections
// during that time, and a non-idempotent request sent on a closed connection would be lost.
func (t *Transport) closeStaleIdle() {
	now := t.clock.Now().UnixNano()
	if previous := t.lastUsedAt.Swap(now); now-previous > int64(idleTimeout) {
		t.CloseIdle()
	}
}

// Exchange sends a request and returns the response with the connection used. The error is
// marked by gateway.ErrNotSent if no byte was written. A request that could not be sent over the node's own link is
// sent through another node. The identifier is what responses name the request by, or NoIdentifier; no connection carries two
// requests with the same one, since a late response to the first could not be told from that to the second.
func (t *Transport) Exchange(request *http.Request, identifier string) (*http.Response, *Conn, error) {
	if t.tracker == nil {
		return t.exchangeOn(t.direct, request, identifier)
	}
	if t.tracker.Choose(request.URL.Host) == backendpath.Tunnel {
		return t.exchangeOn(t.tunnelled, request, identifier)
	}
	response, conn, err := t.exchangeOn(t.direct, request, identifier)
	if !isNotConnected(err) || request.Context().Err() != nil || !t.tunnels.Available() {
		return response, conn, err
	}
	return t.exchangeOn(t.tunnelled, unsentCopy(request), identifier)
}

// ExchangeSeparately is Exchange over the node's own link only, and on a connection that carries nothing else: no late response
// to another request can stand in place of its response.
func (t *Transport) ExchangeSeparately(request *http.Request) (*http.Response, *Conn, error) {
	return t.exchangeOn(t.separate, request, NoIdentifier)
}

// exchangeOn sends a request over one path.
func (t *Transport) exchangeOn(path *http.Transport, request *http.Request, identifier string) (*http.Response, *Conn, error) {
	t.closeStaleIdle()
	for {
		response, conn, err := sendOn(path, request, identifier)
		if !errors.Is(err, errCarriedBefore) {
			return response, conn, err
		}
		request = unsentCopy(request)
	}
}

// sendOn sends a request on one connection. The error is errCarriedBefore if that has carried the identifier before; nothing was
// sent then, and the connection is closed.
func sendOn(path *http.Transport, request *http.Request, identifier string) (*http.Response, *Conn, error) {
	var mu sync.Mutex
	var used *Conn
	var writtenBefore int64
	reused, carriedBefore := false, false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		reused = info.Reused
		used, _ = info.Conn.(*Conn)
		if used == nil {
			return
		}
		used.head.Expect()
		writtenBefore = used.written.Load()
		if carriedBefore = used.carried.add(identifier); carriedBefore {
			_ = used.Close()
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := path.RoundTrip(request)
	mu.Lock()
	defer mu.Unlock()
	if err == nil {
		return checked(response, used)
	}
	isUnsent := used == nil || used.written.Load() == writtenBefore
	if carriedBefore && isUnsent {
		return nil, used, errCarriedBefore
	}
	isUnresponsive := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, gateway.ErrUnresponsive)
	if reused && isUnresponsive {
		// If one idle connection has become unresponsive, others may have as well. New connections
		// are not affected.
		path.CloseIdleConnections()
	}
	if isUnsent {
		err = notSentError{err}
	}
	if via := used.Via(); via != "" {
		err = errors.Wrapf(err, "through %s", via)
	}
	return nil, used, err
}

// checked returns a response if what the backend has sent is one.
func checked(response *http.Response, used *Conn) (*http.Response, *Conn, error) {
	err := responsehead.Check(response)
	if err == nil && used != nil {
		err = used.head.Err()
	}
	if err != nil {
		Abandon(response, used)
		return nil, used, err
	}
	return response, used, nil
}

// notSentError is a failure before the first byte of a request was sent. Of its cause it has only the text: whether
// the cause was a timeout does not matter to the sender of a request that has certainly not run.
type notSentError struct{ cause error }

// Error implements error.
func (e notSentError) Error() string { return gateway.ErrNotSent.Error() + ": " + e.cause.Error() }

// Is marks the error by gateway.ErrNotSent.
func (e notSentError) Is(target error) bool { return target == gateway.ErrNotSent }

// Abandon closes a response and its connection, so that the connection is not reused.
func Abandon(response *http.Response, conn *Conn) {
	_ = response.Body.Close()
	if conn != nil {
		_ = conn.Close()
	}
}
