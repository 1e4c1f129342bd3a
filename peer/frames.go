package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header, as given by its specification.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// frameConn sends each yamux frame in a single write. yamux writes the header
// of a data frame and its body separately; with TLS and TCP each write is a
// record and a packet, whose headers would be most of the bytes of a heartbeat.
type frameConn struct {
	net.Conn
	// frame buffers a header until its body is complete. The session writes from
	// one goroutine.
	frame []byte
	// missing is the length of the rest of the body.
	missing int
}

func newFrameConn(conn net.Conn) *frameConn { return &frameConn{Conn: conn} }

// Write implements net.Conn. It reports a buffered header as written.
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

// shrink releases the buffer of a large frame.
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
