package timeline

import (
	"sync"
	"time"
)

// logicalBits is the number of low bits of a Stamp that hold the logical counter.
const logicalBits = 16

// Stamp is a hybrid logical timestamp: milliseconds since the Unix epoch in the
// high 48 bits and a logical counter in the low 16 bits.
type Stamp uint64

// Time returns the physical component.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// StampOf returns the stamp of a physical time.
func StampOf(at time.Time) Stamp { return Stamp(at.UnixMilli()) << logicalBits }

// Clock produces strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
	now  func() time.Time
}

// NewClock returns a clock that obtains physical time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns the stamp of a local event.
func (c *Clock) Now() Stamp { return c.Observe(0) }

// Observe merges the stamp of a received message into the clock and returns the
// stamp of the receive event.
func (c *Clock) Observe(received Stamp) Stamp {
	physical := StampOf(c.now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, physical, received+1)
	return c.last
}
