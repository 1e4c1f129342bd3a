// Package clock reads time that counts on while the machine is suspended.
//
// The monotonic clock of the runtime stands still meanwhile: a holder of a lease that was suspended
// for longer than that lasts would take it as its own still, and a caller's time as not over. The
// time of day counts on, but jumps.
package clock

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// refreshInterval is for how long of the runtime's clock the suspended time is taken as known. A
// system call each reading would take a coordinator of 1,800 requests a second half a hundredth of
// a core; the runtime's clock takes none. What is decided within this time of waking may rest on
// the time before; leases are looked at with Exact.
const refreshInterval = 20 * time.Millisecond

// Clock counts the time since a fixed moment, suspended time included. Its times are only good for
// differences. A nil Clock is the runtime's, which stands still while the machine is suspended. It is
// safe for concurrent use.
type Clock struct {
	// read returns the time since the machine started; nil where that is the runtime's clock.
	read func() time.Duration

	mu sync.Mutex
	// base is the last reading, and steady the runtime's clock then.
	base   time.Duration
	steady time.Time
}

// Boot returns the clock of the time since the machine started. The error says that the system has
// none.
func Boot() (*Clock, error) {
	if _, err := readBoot(); err != nil {
		return nil, errors.Wrap(err, "read the time since the machine started")
	}
	return New(func() time.Duration {
		read, _ := readBoot() // Only an unknown clock fails, and would have failed above.
		return read
	}), nil
}

func readBoot() (time.Duration, error) {
	var current unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &current)
	return time.Duration(current.Nano()), err
}

// New returns a clock by what reads the time since the machine started.
func New(read func() time.Duration) *Clock { return &Clock{read: read} }

// Runtime returns the runtime's clock. It is for simulations and tests in virtual time.
func Runtime() *Clock { return nil }

// Now returns the time as of refreshInterval ago at most, and counts on from there.
func (c *Clock) Now() time.Time {
	if c == nil || c.read == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := time.Since(c.steady); since < refreshInterval {
		return timeOf(c.base + since)
	}
	return c.refresh()
}

// Exact returns the time as of now.
func (c *Clock) Exact() time.Time {
	if c == nil || c.read == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refresh()
}

// refresh reads the time; the lock is held. The runtime's clock is read last, so that the time does
// not go back at the next reading where the process is interrupted in between.
func (c *Clock) refresh() time.Time {
	c.base = c.read()
	c.steady = time.Now()
	return timeOf(c.base)
}

// Since returns how long ago a time of this clock was.
func (c *Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

func timeOf(since time.Duration) time.Time { return time.Unix(0, int64(since)) }
