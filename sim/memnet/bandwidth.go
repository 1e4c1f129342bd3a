package memnet

import (
	"net"
	"slices"
	"sync"
	"time"
)

// segmentBytes is how much of one connection passes a limited link at a time. Connections of a
// host take turns by segments, as those of TCP share a link.
const segmentBytes = 4 << 10

// largestFrame is how much of one write passes as a whole: the largest frame of yamux, its window
// and a header. Peers read the body of a frame under a lock, on which virtual time does not
// advance. What is longer, as a large body of HTTP, arrives in several pieces.
const largestFrame = 256<<10 + 12

// limitedLinks are the hosts whose links carry a bounded number of bytes a second.
type limitedLinks struct {
	mu    sync.Mutex
	hosts map[string]*limitedLink
}

// limitedLink is the link of one host.
type limitedLink struct {
	bytesPerSecond int
	// sendingUntil and receivingUntil are when the bytes accepted so far have passed.
	sendingUntil   time.Time
	receivingUntil time.Time
}

// SetBandwidth bounds what a host sends and what it receives, each in bytes a second, from now
// on. Hosts that were never given a bound have none.
func (n *Network) SetBandwidth(host string, bytesPerSecond int) {
	n.limited.mu.Lock()
	defer n.limited.mu.Unlock()
	n.limited.hosts[host] = &limitedLink{bytesPerSecond: bytesPerSecond}
}

// bounds reports whether one end of a link has a bound.
func (l *limitedLinks) bounds(link Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[link.From] != nil || l.hosts[link.To] != nil
}

// transmit waits until so many bytes have passed both ends of a link, or returns net.ErrClosed
// when done closes.
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

// reserve returns when a segment will have passed.
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

// duration returns how long some bytes take.
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

// sendBuffer holds the writes of one connection that a limited link has not passed yet. It
// takes any number of bytes: a writer that waited would hold locks of its own meanwhile, on
// which virtual time does not advance.
type sendBuffer struct {
	once sync.Once
	// added signals new writes to the sender.
	added chan struct{}

	mu     sync.Mutex
	writes [][]byte
}

// sendLater accepts a write and has it sent when the link passes it.
func (c *conn) sendLater(data []byte) (int, error) {
	c.buffer.once.Do(func() {
		c.buffer.added = make(chan struct{}, 1)
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

// sendBuffered sends accepted writes until the connection closes; what it holds then is lost,
// as after a reset.
func (c *conn) sendBuffered() {
	for {
		data := c.buffer.next()
		if data == nil {
			select {
			case <-c.buffer.added:
				continue
			case <-c.closed:
				return
			}
		}
		for piece := range slices.Chunk(data, largestFrame) {
			if c.network.limited.transmit(c.link, len(piece), c.closed) != nil {
				return
			}
			// The link may have been blocked meanwhile.
			if c.network.gate.wait(c.link, c.closed) != nil {
				return
			}
			if c.silent.Load() {
				continue
			}
			if _, err := c.Conn.Write(piece); err != nil {
				return
			}
		}
	}
}

// next takes the oldest write out, or returns nil.
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
