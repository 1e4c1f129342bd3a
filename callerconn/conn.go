package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection of a caller. It is safe for concurrent use.
type Conn struct {
	net.Conn
	now      func() time.Time
	listener *Listener

	mu sync.Mutex
	// isUnbegun is set until the handler of the first request has been called, or the connection has ended.
	isUnbegun bool
	// firstReceived is when the first bytes of the current request were received; zero between two requests.
	firstReceived time.Time
	// lastReceived is when the last bytes were read.
	lastReceived time.Time
	// writing is how long writes for the current request have taken, and writeErr the first error of one.
	writing  time.Duration
	writeErr error
	// report is called once the current response has ended; nil if nobody asked.
	report func(End)
	// refusing is set once the connection has been closed as idle: what is read from it is discarded.
	refusing bool
	// closed is set once this process has closed the connection, with the bytes that waited in the operating system then.
	closed                       bool
	unreadAtClose, unsentAtClose int
}

// Arrived returns when the current request began to arrive.
func (c *Conn) Arrived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstReceived.IsZero() {
		// Nothing has been read since the last request: this one was received together with it.
		return c.lastReceived
	}
	return c.firstReceived
}

// Writing returns how long writes for the current request have taken.
func (c *Conn) Writing() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writing
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if count > 0 && !c.received() {
		return 0, net.ErrClosed
	}
	return count, err
}

// received records that bytes have been read. It reports false if the connection has been closed as idle.
func (c *Conn) received() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusing {
		return false
	}
	c.lastReceived = c.now()
	if c.firstReceived.IsZero() {
		c.firstReceived = c.lastReceived.Add(-sinceReceived(c.Conn))
	}
	return true
}

// CloseIdle closes the connection, unless a request has begun to arrive since the last response. It reports whether it did. The
// HTTP server takes a connection for idle until it has read the whole head of a request.
func (c *Conn) CloseIdle() bool {
	if unread, _ := queuedBytes(c.Conn); unread > 0 {
		return false
	}
	if !c.refuse() {
		return false
	}
	_ = c.Close()
	return true
}

// refuse has requests that arrive from now on refused. It reports false if one has begun to arrive.
func (c *Conn) refuse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = c.refusing || c.firstReceived.IsZero()
	return c.refusing
}

// Begin begins a request whose head has been read. It reports false if the connection has been closed as idle: the HTTP server had
// read the request together with the one before, and it must not run.
func (c *Conn) Begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countBegun()
	if c.firstReceived.IsZero() {
		c.firstReceived = c.lastReceived
	}
	return !c.refusing
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	began := c.now()
	count, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing += c.now().Sub(began)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return count, err
}

// CloseWrite closes the direction to the caller. The HTTP server does so before it closes a connection whose caller may
// still be sending, because closing both directions at once may discard the response.
func (c *Conn) CloseWrite() error {
	closer, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

// endUnbegun counts the connection as one that has had a request, or has ended.
func (c *Conn) endUnbegun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countBegun()
}

// countBegun is endUnbegun while the lock is held.
func (c *Conn) countBegun() {
	if c.isUnbegun {
		c.isUnbegun = false
		c.listener.unbegun.Add(-1)
	}
}

// endRequest prepares for the next request.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstReceived, c.writing = time.Time{}, 0
}

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	now func() time.Time
	// lingersNot is set once connections are closed at once.
	lingersNot atomic.Bool
	// unbegun is the number of open connections without a request so far.
	unbegun atomic.Int64
	// stop closes the wrapped listener, once. isStopping is set before, and closed is closed with this listener.
	stop       func() error
	isStopping atomic.Bool
	closed     chan struct{}
	closeOnce  sync.Once
}

// NewListener returns a listener whose connections measure by the given clock.
func NewListener(listener net.Listener, now func() time.Time) *Listener {
	return &Listener{Listener: listener, now: now, stop: sync.OnceValue(listener.Close), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if l.isStopping.Load() {
			<-l.closed
		}
		return nil, err
	}
	l.unbegun.Add(1)
	return &Conn{Conn: accepted, now: l.now, listener: l, isUnbegun: true}, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.stop()
}

// StopAccepting accepts no more connections. The server is not told: it goes on to serve those that are open, until it is shut down.
func (l *Listener) StopAccepting() {
	l.isStopping.Store(true)
	_ = l.stop() // Close returns its error.
}

// Unbegun returns the number of open connections without a request so far. Their callers may have sent one.
func (l *Listener) Unbegun() int { return int(l.unbegun.Load()) }

// CloseAtOnce has connections that end with a response closed at once from now on. Its caller is about to close all of them.
func (l *Listener) CloseAtOnce() { l.lingersNot.Store(true) }

type contextKey struct{}

// NewContext returns a context with the connection, for From. It implements the ConnContext hook of http.Server.
func NewContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// From returns the connection of a request by its context, or nil if it was not accepted by a Listener.
func From(ctx context.Context) *Conn {
	conn, _ := ctx.Value(contextKey{}).(*Conn)
	return conn
}

// Track follows the state of a connection. It implements the ConnState hook of http.Server.
func Track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		tracked.reportEnd(false)
		tracked.endRequest()
	case http.StateClosed:
		tracked.endUnbegun()
		tracked.reportEnd(true)
	}
}
