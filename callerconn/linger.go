package callerconn

import (
	"io"
	"time"
)

const (
	// lingerTimeout bounds how long a connection lingers.
	lingerTimeout = time.Second
	// maxLingerBytes bounds how much is read meanwhile.
	maxLingerBytes = 1 << 20
	// inFlightBytes is how much of a response may be on its way when its connection is closed. More than that waits for a caller
	// that reads slowly.
	inFlightBytes = 16 << 10
)

// mustLinger reports whether closing the connection at once might discard the end of a response, given the bytes that wait in the
// operating system. It resets a connection that is closed while bytes of the caller are unread, or that receives some afterwards.
// Connections that do not end with a response, such as idle ones, never linger: a request that crosses their end must not be read,
// so that its caller knows that it may be sent again.
func (c *Conn) mustLinger(unread, unsent int) bool {
	if unsent == 0 || (unread == 0 && unsent <= inFlightBytes) || c.listener.lingersNot.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report != nil && c.writeErr == nil && !c.closed
}

// linger ends the response, and reads what the caller sends until it closes the connection as well.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // The connection is closed in any case.
}
