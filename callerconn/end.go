package callerconn

import (
	"net"

	"golang.org/x/sys/unix"
)

// End describes how a response ended. The HTTP server writes the last part of a response, and closes its connection if it must,
// after the handler has returned.
type End struct {
	// Err is the first error of a write; nil if the whole response was handed to the operating system.
	Err error
	// Closed is set if the connection was closed after the response.
	Closed bool
	// UnreadBytes are bytes that the caller had sent and that nobody had read when the connection was closed. The operating
	// system resets such a connection, and may discard what the caller has not received.
	UnreadBytes int
	// UnsentBytes are bytes that the caller had not acknowledged then.
	UnsentBytes int
}

// Delivered reports whether nothing of the response is known to be lost.
func (e End) Delivered() bool { return e.Err == nil && (e.UnreadBytes == 0 || e.UnsentBytes == 0) }

// OnEnd sets the function that is called once the current response has ended. A handler calls it before it returns.
func (c *Conn) OnEnd(report func(End)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report = report
}

// reportEnd reports the end of the current response.
func (c *Conn) reportEnd(closed bool) {
	c.mu.Lock()
	report := c.report
	end := End{Err: c.writeErr, Closed: closed}
	if closed {
		end.UnreadBytes, end.UnsentBytes = c.unreadAtClose, c.unsentAtClose
	}
	c.report, c.writeErr = nil, nil
	c.mu.Unlock()
	if report != nil {
		report(end)
	}
}

// Close implements net.Conn. A connection that ends with a response lingers first if a part of the response might be lost.
func (c *Conn) Close() error {
	unread, unsent := queuedBytes(c.Conn)
	if c.mustLinger(unread, unsent) {
		c.linger()
		unread, unsent = queuedBytes(c.Conn)
	}
	c.mu.Lock()
	if !c.closed {
		c.closed, c.unreadAtClose, c.unsentAtClose = true, unread, unsent
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// queuedBytes returns how many bytes of a connection wait in the operating system: received ones that have not been read, and
// written ones that have not been acknowledged. Both are zero if that is not known.
func queuedBytes(conn net.Conn) (unread, unsent int) {
	known := control(conn, func(descriptor int) (err error) {
		if unread, err = unix.IoctlGetInt(descriptor, unix.SIOCINQ); err == nil {
			unsent, err = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		}
		return err
	})
	if !known {
		return 0, 0
	}
	return unread, unsent
}

// unsentBytes returns how many written bytes have not been acknowledged, and false if that is not known.
func unsentBytes(conn net.Conn) (unsent int, known bool) {
	known = control(conn, func(descriptor int) (err error) {
		unsent, err = unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		return err
	})
	return unsent, known
}
