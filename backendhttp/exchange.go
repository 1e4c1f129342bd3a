package backendhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/gateway"
)

const (
	// dialTimeout bounds the opening of a connection to a back end.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused connection to a back end is kept.
	idleTimeout = 2 * time.Second
	// idlePerBackend is how many unused connections to a back end are kept.
	idlePerBackend = 16
	// maxAnswerHeadBytes bounds the head of an answer.
	maxAnswerHeadBytes = 64 << 10
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn counts what was written to it, so that a failed call can tell whether anything
// was sent.
type Conn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written.Add(int64(n))
	return n, err
}

// Transport sends requests. It is safe for concurrent use.
type Transport struct {
	http  *http.Transport
	clock *clock.Clock
	// usedAt is when a request was last sent, by the clock, in nanoseconds.
	usedAt atomic.Int64
}

// NewTransport returns a transport that opens connections by a function.
func NewTransport(dial DialFunc, counting *clock.Clock) *Transport {
	return &Transport{clock: counting, http: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &Conn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerBackend,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}}
}

// Refuses reports whether nothing listens at an address. It is false where the connection comes up,
// or where nothing is heard in time.
func (t *Transport) Refuses(ctx context.Context, address string) bool {
	conn, err := t.http.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// CloseIdle closes the connections that are not in use.
func (t *Transport) CloseIdle() { t.http.CloseIdleConnections() }

// onceBody is a request's body that the transport cannot send a second time by itself, as
// it would for some methods.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// NewRequest returns a request to a back end. The URI is a path with its query.
func NewRequest(ctx context.Context, method, address, uri string, body []byte) (*http.Request, error) {
	target, err := url.ParseRequestURI(uri)
	if err != nil {
		return nil, errors.Wrap(err, "parse path")
	}
	target.Scheme, target.Host = "http", address
	request := &http.Request{
		Method: method, URL: target, Host: address, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: onceBody{bytes.NewReader(body)}, ContentLength: int64(len(body)),
	}
	return request.WithContext(ctx), nil
}

// closeOutdated closes the unused connections if none has been used for longer than they are kept. The
// timers by which they are closed stand still while the machine is suspended; back ends close them
// meanwhile, and a request that may run only once would be lost on one.
func (t *Transport) closeOutdated() {
	now := t.clock.Now().UnixNano()
	if before := t.usedAt.Swap(now); now-before > int64(idleTimeout) {
		t.CloseIdle()
	}
}

// Exchange sends a request and returns the response with the connection used. The error is
// marked by gateway.ErrNotSent where no byte was written.
func (t *Transport) Exchange(request *http.Request) (*http.Response, *Conn, error) {
	t.closeOutdated()
	var mu sync.Mutex
	var used *Conn
	var before int64
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		mu.Lock()
		defer mu.Unlock()
		reused = info.Reused
		used, _ = info.Conn.(*Conn)
		if used != nil {
			before = used.written.Load()
		}
	}}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := t.http.RoundTrip(request)
	mu.Lock()
	defer mu.Unlock()
	if err == nil {
		return response, used, nil
	}
	if reused && errors.Is(err, context.DeadlineExceeded) {
		// Where one kept connection has fallen silent, others may have as well. New ones work.
		t.CloseIdle()
	}
	if used == nil || used.written.Load() == before {
		err = errors.CombineErrors(gateway.ErrNotSent, err)
	}
	return nil, used, err
}

// Abandon closes a response's connection, so that nothing follows on it.
func Abandon(response *http.Response, conn *Conn) {
	_ = response.Body.Close()
	if conn != nil {
		_ = conn.Close()
	}
}
