package callerconn

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// fullInterval is the interval at which a listener that is closed because its gate is full checks whether it still is.
const fullInterval = 10 * time.Millisecond

// GateOptions configure how a listener is gated.
type GateOptions struct {
	// Gate decides which requests are read.
	Gate Gate
	// Reopen opens the wrapped listener again after it has been closed because the gate was full.
	Reopen func() (net.Listener, error)
	// ReopenFailed is called if that fails. It is tried until it succeeds.
	ReopenFailed func(err error)
}

// Listener accepts connections of callers. While its gate is full it does not listen: connections are refused, so that callers
// know at once that their requests have not been read, and send none of their bytes.
type Listener struct {
	now     func() time.Time
	gated   GateOptions
	address net.Addr
	// lingersNot is set once connections are closed at once.
	lingersNot atomic.Bool
	// unbegun is the number of open connections without a request so far.
	unbegun atomic.Int64
	// closed is closed with this listener.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// current is the wrapped listener; nil while it is closed.
	current net.Listener
	// isStopping is set once no more connections are accepted.
	isStopping bool
}

// NewListener wraps a listener. Its connections measure by the given clock.
func NewListener(listener net.Listener, now func() time.Time) *Listener {
	return &Listener{now: now, gated: GateOptions{Gate: openGate{}}, address: listener.Addr(), current: listener, closed: make(chan struct{})}
}

// SetGate has a gate decide which requests are read. It must be called before the listener is used.
func (l *Listener) SetGate(options GateOptions) { l.gated = options }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		current, err := l.awaitOpen()
		if err != nil {
			return nil, err
		}
		accepted, err := current.Accept()
		switch {
		case err != nil && l.stopping():
			<-l.closed
			return nil, err
		case err != nil:
			return nil, err
		}
		if conn := l.wrap(accepted); conn != nil {
			return conn, nil
		}
		refuse(accepted)
	}
}

// wrap returns a new connection, or nil if its first request has no place.
func (l *Listener) wrap(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, now: l.now, listener: l, isUnbegun: true}
	if !conn.reserve() {
		return nil
	}
	l.unbegun.Add(1)
	return conn
}

// awaitOpen returns the wrapped listener once the gate is not full. While it is, the listener is closed.
func (l *Listener) awaitOpen() (net.Listener, error) {
	for l.gated.Gate.Full() {
		l.closeCurrent()
		if !l.pause() {
			return nil, net.ErrClosed
		}
	}
	for {
		current, err := l.open()
		if err == nil {
			return current, nil
		}
		if errors.Is(err, net.ErrClosed) {
			<-l.closed
			return nil, err
		}
		l.gated.ReopenFailed(err)
		if !l.pause() {
			return nil, net.ErrClosed
		}
	}
}

// pause waits for fullInterval. It reports false if this listener is closed meanwhile.
func (l *Listener) pause() bool {
	timer := time.NewTimer(fullInterval)
	defer timer.Stop()
	select {
	case <-l.closed:
		return false
	case <-timer.C:
		return true
	}
}

// open returns the wrapped listener, which is opened if it is closed.
func (l *Listener) open() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isStopping {
		return nil, net.ErrClosed
	}
	if l.current != nil {
		return l.current, nil
	}
	current, err := l.gated.Reopen()
	if err != nil {
		return nil, err
	}
	l.current = current
	return current, nil
}

// closeCurrent closes the wrapped listener until it is opened again.
func (l *Listener) closeCurrent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		_ = l.current.Close() // Connections that nobody has accepted are reset.
		l.current = nil
	}
}

func (l *Listener) stopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isStopping
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.StopAccepting()
	return nil
}

// StopAccepting accepts no more connections. The server is not told: it goes on to serve those that are open, until it is shut down.
func (l *Listener) StopAccepting() {
	l.mu.Lock()
	l.isStopping = true
	l.mu.Unlock()
	l.closeCurrent()
}

// Unbegun returns the number of open connections without a request so far. Their callers may have sent one.
func (l *Listener) Unbegun() int { return int(l.unbegun.Load()) }

// CloseAtOnce has connections that end with a response closed at once from now on. Its caller is about to close all of them.
func (l *Listener) CloseAtOnce() { l.lingersNot.Store(true) }
