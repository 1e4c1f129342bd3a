package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	// isAdmitted is set while the listener's gate counts a request of the connection, and isReserved while that request has not begun to
	// arrive.
	isAdmitted, isReserved bool
	// written is how many bytes have been written to the connection.
	written int64
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
	if !c.awaitAdmission() {
		refuse(c.Conn)
		return 0, net.ErrClosed
	}
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
	written := c.noteWritten(count, c.now().Sub(began), err)
	if gate := c.listener.gated.Gate; gate.WantsTransmission() {
		gate.AddTransmission(&Transmission{conn: c, end: written})
	}
	return count, err
}

// noteWritten records a write, and returns how many bytes have been written so far.
func (c *Conn) noteWritten(count int, took time.Duration, err error) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing += took
	c.written += int64(count)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return c.written
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
		tracked.release()
	case http.StateClosed:
		tracked.endUnbegun()
		tracked.reportEnd(true)
		tracked.release()
	}
}
