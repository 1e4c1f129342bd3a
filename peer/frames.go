package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header, as its specification gives it.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// frameConn sends each yamux frame by one write. yamux itself writes the header
// of a data frame and then its body; with TLS and TCP each write is a record and
// a packet, whose headers would be most of the bytes of a heartbeat.
type frameConn struct {
	net.Conn
	// frame is a header that waits for its body. The session writes from one
	// goroutine.
	frame []byte
	// missing is the length of the body that is still to come.
	missing int
}

func newFrameConn(conn net.Conn) *frameConn { return &frameConn{Conn: conn} }

// Write implements net.Conn. It reports a header that waits as written.
func (c *frameConn) Write(data []byte) (int, error) {
	if c.missing == 0 {
		c.missing = bodyLength(data)
		if c.missing == 0 {
			return c.Conn.Write(data)
		}
		c.frame = append(c.frame[:0], data...)
		return len(data), nil
	}
	c.frame = append(c.frame, data...)
	c.missing -= len(data)
	if c.missing > 0 {
		return len(data), nil
	}
	c.missing = 0
	if _, err := c.Conn.Write(c.frame); err != nil {
		return 0, err
	}
	c.shrink()
	return len(data), nil
}

// maxKeptFrame bounds the buffer that is kept between frames.
const maxKeptFrame = 4 << 10

// shrink lets the buffer of a large frame go.
func (c *frameConn) shrink() {
	if cap(c.frame) > maxKeptFrame {
		c.frame = nil
	}
}

// bodyLength returns the length of the body that follows a header, or zero if
// data is not the header of a data frame.
func bodyLength(data []byte) int {
	if len(data) != frameHeaderBytes || data[frameTypeOffset] != frameTypeData {
		return 0
	}
	return int(binary.BigEndian.Uint32(data[frameLengthOffset:]))
}
