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
		if excess, wasIdle := l.add(conn); excess != nil {
			_ = excess.Close()
			l.closed(wasIdle)
		}
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

// add counts a new connection, and returns the connection that must be closed for it: the one that has been idle for longest, the
// new one if none is idle, or nil.
func (l *Limit) add(conn net.Conn) (excess net.Conn, wasIdle bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[conn] = nil
	if len(l.open) <= l.most {
		return nil, false
	}
	oldest := l.idle.Front()
	if oldest == nil {
		delete(l.open, conn)
		return conn, false
	}
	excess = oldest.Value.(net.Conn) //nolint:forcetypeassert // only connections are added
	l.forget(excess)
	return excess, true
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
