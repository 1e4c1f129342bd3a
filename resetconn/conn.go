// Package resetconn has connections report a reset as an error, and never as their regular end.
//
// The operating system reports the reset of a connection once, to a read or to a write. If it goes to a write, reads see the end of the
// connection as if the other side had closed it. A response without a length ends with its connection, so that one that is reset while
// its request is still being written would look complete.
package resetconn

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrReset is returned by reads of a connection that has ended and to which a write has failed.
var ErrReset = errors.New("resetconn: connection ended while data was being written")

// Conn is a connection that reports its reset to reads, whichever goroutine the operating system has told of it.
type Conn struct {
	net.Conn
	// writing is held during a write, and writeFailed is set if one has failed.
	writing     sync.Mutex
	writeFailed bool
}

// New returns a connection that reports its reset to reads.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials as another one does, and whose connections report their resets to reads.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(conn), nil
	}
}

// Read implements net.Conn. At the end of the connection it waits for a write in progress, which ends as well if the connection was
// reset, and at the latest when the connection is closed.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && c.hasFailedWrite() {
		err = ErrReset
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	c.writeFailed = c.writeFailed || err != nil
	return n, err
}

// hasFailedWrite reports whether a write has failed, the one in progress included.
func (c *Conn) hasFailedWrite() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}
