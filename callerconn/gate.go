package callerconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// firstRequestReserve is how long a new connection keeps its place for its first request. Callers open connections to send one at once.
const firstRequestReserve = 200 * time.Millisecond

// Gate decides which requests are read. Its methods must not block.
type Gate interface {
	// Full reports whether the first request of a new connection would not be admitted.
	Full() bool
	// AdmitNew reports whether the first request of a new connection may be read, and Admit the same of a later one. If so, Release is called
	// at its end.
	AdmitNew() bool
	Admit() bool
	Release()
	// WantsTransmission reports whether a transmission is to be observed, and AddTransmission has one observed that begins now.
	WantsTransmission() bool
	AddTransmission(transmission *Transmission)
}

// openGate admits all requests.
type openGate struct{}

func (openGate) Full() bool                    { return false }
func (openGate) AdmitNew() bool                { return true }
func (openGate) Admit() bool                   { return true }
func (openGate) Release()                      {}
func (openGate) WantsTransmission() bool       { return false }
func (openGate) AddTransmission(*Transmission) {}

// refuse closes a connection that nothing has been read from. The reset tells its caller that its request has not been read.
func refuse(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Otherwise the connection ends regularly, which says the same later.
	}
	_ = conn.Close()
}

// awaitAdmission waits for the first byte of a request, and reports whether the request may be read. It reports true if there is an
// admitted request already, and if the connection has ended.
func (c *Conn) awaitAdmission() bool {
	if c.isBegun() {
		return true
	}
	awaitReadable(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReserved = false
	return c.admit()
}

// isBegun reports whether a request has been admitted because it has begun to arrive.
func (c *Conn) isBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAdmitted && !c.isReserved
}

// admit admits a request if none is admitted; the lock is held. A connection that has been closed needs no place.
func (c *Conn) admit() bool {
	if !c.isAdmitted && !c.closed {
		c.isAdmitted = c.listener.gated.Gate.Admit()
	}
	return c.isAdmitted || c.closed
}

// reserve admits the first request of a new connection before it arrives, so that no more connections are accepted than requests can be
// read. It reports false if there is no place for one.
func (c *Conn) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.listener.gated.Gate.AdmitNew() {
		return false
	}
	c.isAdmitted, c.isReserved = true, true
	time.AfterFunc(firstRequestReserve, c.releaseUnused)
	return true
}

// releaseUnused gives up the place of a first request that has not begun to arrive.
func (c *Conn) releaseUnused() {
	c.mu.Lock()
	isUnused := c.isReserved
	c.isReserved = false
	c.mu.Unlock()
	if isUnused {
		c.release()
	}
}

// release ends an admitted request.
func (c *Conn) release() {
	c.mu.Lock()
	wasAdmitted := c.isAdmitted
	c.isAdmitted, c.isReserved = false, false
	c.mu.Unlock()
	if wasAdmitted {
		c.listener.gated.Gate.Release()
	}
}

// awaitReadable waits until a connection has bytes to read, has ended, or has reached its deadline. It returns at once if that cannot be
// found out without reading.
func awaitReadable(conn net.Conn) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	var first [1]byte
	// The read that follows returns the error, if there is one.
	_ = raw.Read(func(descriptor uintptr) bool {
		_, _, err := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN && err != unix.EINTR
	})
}

// Transmission is bytes that have been written to a connection.
type Transmission struct {
	conn *Conn
	// end is how many bytes had been written to the connection with them.
	end int64
}

// Acknowledged reports whether the caller's machine has received the bytes, and false for known if that cannot be found out any more.
func (t *Transmission) Acknowledged() (acknowledged, known bool) {
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	if t.conn.closed {
		return false, false
	}
	unsent, known := unsentBytes(t.conn.Conn)
	return known && t.conn.written-int64(unsent) >= t.end, known
}
