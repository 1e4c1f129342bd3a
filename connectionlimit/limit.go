package connectionlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Limit bounds the connections of one server. Its Track method is the server's ConnState hook. It is safe for concurrent use.
type Limit struct {
	most int
	// closed is called for each connection that the limit closes; idle tells whether it was idle or new.
	closed func(idle bool)

	mu   sync.Mutex
	open map[net.Conn]*list.Element
	// idle holds the idle connections, the one that has been idle for longest first.
	idle *list.List
}

// New returns a limit of the given number of connections. The function is called for each connection that is closed; it must
// not block.
func New(most int, closed func(idle bool)) *Limit {
	return &Limit{most: most, closed: closed, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// Track follows the state of a connection. It implements the ConnState hook of http.Server.
func (l *Limit) Track(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.admit(conn)
	case http.StateActive:
		l.setActive(conn)
	case http.StateIdle:
		l.setIdle(conn)
	case http.StateClosed, http.StateHijacked:
		l.remove(conn)
	}
}

// Open returns the number of open connections.
func (l *Limit) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// idleCloser is a connection that knows better than the server whether it is idle: the server reports a request only once it has
// read its head.
type idleCloser interface {
	// CloseIdle closes the connection unless a request has begun to arrive, and reports whether it did.
	CloseIdle() bool
}

// admit counts a new connection. If there are too many, the one that has been idle for longest is closed, or the new one if none is
// idle.
func (l *Limit) admit(conn net.Conn) {
	if l.add(conn) {
		return
	}
	for idle := l.takeIdle(); idle != nil; idle = l.takeIdle() {
		if closeIdle(idle) {
			l.remove(idle)
			l.closed(true)
			return
		}
	}
	l.remove(conn)
	_ = conn.Close()
	l.closed(false)
}

// closeIdle closes an idle connection, and reports false if it is not idle any more.
func closeIdle(conn net.Conn) bool {
	if closer, ok := conn.(idleCloser); ok {
		return closer.CloseIdle()
	}
	_ = conn.Close()
	return true
}

// add counts a new connection, and reports whether it is within the limit.
func (l *Limit) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = nil
	return len(l.open) <= l.most
}

// takeIdle returns the connection that has been idle for longest, which counts as active from now on; nil if none is idle.
func (l *Limit) takeIdle() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.idle.Front()
	if oldest == nil {
		return nil
	}
	conn := oldest.Value.(net.Conn) //nolint:forcetypeassert // only connections are added
	l.idle.Remove(oldest)
	l.open[conn] = nil
	return conn
}

func (l *Limit) setActive(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
		l.open[conn] = nil
	}
}

func (l *Limit) setIdle(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element, known := l.open[conn]; known && element == nil {
		l.open[conn] = l.idle.PushBack(conn)
	}
}

func (l *Limit) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(conn)
}

// forget removes a connection; the lock is held.
func (l *Limit) forget(conn net.Conn) {
	if element := l.open[conn]; element != nil {
		l.idle.Remove(element)
	}
	delete(l.open, conn)
}
