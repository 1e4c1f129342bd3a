package memnet

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// segmentBytes is the unit in which connections share a limited link: the connections of a host
// alternate by segments, as TCP connections do.
const segmentBytes = 4 << 10

// maxFrameBytes is the largest write that is delivered in one piece. It is the largest yamux frame:
// the window and a header. Peers hold a lock while they read the body of a frame, and virtual time
// does not advance while a goroutine waits for a lock. Longer writes, such as large HTTP bodies,
// arrive in several pieces.
const maxFrameBytes = 256<<10 + 12

// lingerTime is how long a closed connection goes on transmitting what was written before.
const lingerTime = 30 * time.Second

// limitedLinks are the links of the hosts with a bandwidth limit.
type limitedLinks struct {
	mu    sync.Mutex
	hosts map[string]*limitedLink
}

// limitedLink is the link of one host with a bandwidth limit.
type limitedLink struct {
	bytesPerSecond int
	// sendingUntil and receivingUntil are when the transmission of the bytes accepted so far ends.
	sendingUntil   time.Time
	receivingUntil time.Time
}

// SetBandwidth limits what a host sends and what it receives from now on, each in bytes per second.
// Hosts have no limit by default.
func (n *Network) SetBandwidth(host string, bytesPerSecond int) {
	n.limited.mu.Lock()
	defer n.limited.mu.Unlock()
	n.limited.hosts[host] = &limitedLink{bytesPerSecond: bytesPerSecond}
}

// isLimited reports whether either end of a link has a bandwidth limit.
func (l *limitedLinks) isLimited(link Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[link.From] != nil || l.hosts[link.To] != nil
}

// transmit waits until size bytes have passed both ends of a link. It returns net.ErrClosed when
// done closes.
func (l *limitedLinks) transmit(link Link, size int, done <-chan struct{}) error {
	for size > 0 {
		segment := min(size, segmentBytes)
		size -= segment
		passed := l.reserve(link, segment)
		if err := waitUntil(passed, done); err != nil {
			return err
		}
	}
	return nil
}

// reserve schedules a segment at both ends of a link and returns when its transmission ends.
func (l *limitedLinks) reserve(link Link, size int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	passed := time.Now()
	if sender := l.hosts[link.From]; sender != nil {
		sender.sendingUntil = later(sender.sendingUntil, time.Now()).Add(sender.duration(size))
		passed = later(passed, sender.sendingUntil)
	}
	if receiver := l.hosts[link.To]; receiver != nil {
		receiver.receivingUntil = later(receiver.receivingUntil, time.Now()).Add(receiver.duration(size))
		passed = later(passed, receiver.receivingUntil)
	}
	return passed
}

// duration returns the transmission time of size bytes.
func (l *limitedLink) duration(size int) time.Duration {
	return time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func waitUntil(moment time.Time, done <-chan struct{}) error {
	remaining := time.Until(moment)
	if remaining <= 0 {
		return nil
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-done:
		return net.ErrClosed
	}
}

// sendBuffer queues the writes of one connection that a limited link has not transmitted yet. It
// is unbounded: a writer that blocked would keep its own locks, and virtual time does not advance
// while a goroutine waits for a lock.
type sendBuffer struct {
	once sync.Once
	// started is set once the sender runs.
	started atomic.Bool
	// added signals new writes to the sender.
	added chan struct{}

	mu     sync.Mutex
	writes [][]byte
}

// enqueue accepts a write, which is transmitted in the background at the rate of the link.
func (c *conn) enqueue(data []byte) (int, error) {
	c.buffer.once.Do(func() {
		c.buffer.added = make(chan struct{}, 1)
		c.buffer.started.Store(true)
		go c.sendBuffered()
	})
	c.buffer.mu.Lock()
	c.buffer.writes = append(c.buffer.writes, append([]byte(nil), data...))
	c.buffer.mu.Unlock()
	select {
	case c.buffer.added <- struct{}{}:
	default:
	}
	return len(data), nil
}

// sendBuffered transmits queued writes until the connection is closed and all of them are transmitted, or until it is
// aborted. Writes that are still queued then are lost, as after a connection reset.
func (c *conn) sendBuffered() {
	defer c.abort()
	for {
		closed := isClosed(c.closed)
		if data := c.buffer.next(); data != nil {
			if err := c.sendPieces(data); err != nil {
				return
			}
			continue
		}
		if closed {
			return
		}
		select {
		case <-c.buffer.added:
		case <-c.closed:
		case <-c.aborted:
			return
		}
	}
}

// sendPieces transmits one write.
func (c *conn) sendPieces(data []byte) error {
	for piece := range slices.Chunk(data, maxFrameBytes) {
		if err := c.network.limited.transmit(c.link, len(piece), c.aborted); err != nil {
			return err
		}
		// The link may have been blocked since the write was queued.
		if err := c.network.filter.wait(c.link, c.aborted); err != nil {
			return err
		}
		if c.dropping.Load() {
			continue
		}
		if _, err := c.Conn.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// next removes and returns the oldest write, or returns nil if there is none.
func (b *sendBuffer) next() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.writes) == 0 {
		return nil
	}
	first := b.writes[0]
	b.writes = b.writes[1:]
	return first
}
