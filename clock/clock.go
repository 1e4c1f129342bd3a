// Package clock measures time including the time for which the machine is suspended.
//
// The runtime's monotonic clock stops while the machine is suspended: a holder of a lease that was
// suspended for longer than the lease lasts would still consider it valid, and a caller's deadline as
// not reached. The wall clock continues, but may jump.
package clock

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// refreshInterval is how long the runtime's clock is used between readings of the system clock. A
// system call for each reading would take a coordinator of 1,800 requests a second 0.5 % of a
// core; the runtime's clock takes none. For this long after the machine resumes, decisions may be
// based on the time before the suspension; leases are checked with Exact.
const refreshInterval = 20 * time.Millisecond

// Clock measures the time since a fixed moment, including suspended time. Its times are only
// meaningful as differences. A nil Clock is the runtime's clock, which stops while the machine is
// suspended. It is safe for concurrent use.
type Clock struct {
	// read returns the time since the machine booted; nil selects the runtime's clock.
	read func() time.Duration

	mu sync.Mutex
	// base is the last reading, and runtimeBase the runtime's clock at that moment.
	base        time.Duration
	runtimeBase time.Time
}

// Boot returns the clock of the time since the machine booted. It returns an error if the system has
// no such clock.
func Boot() (*Clock, error) {
	if _, err := readBoot(); err != nil {
		return nil, errors.Wrap(err, "read the time since boot")
	}
	return New(func() time.Duration {
		read, _ := readBoot() // Only an unknown clock fails, and it would have failed above.
		return read
	}), nil
}

func readBoot() (time.Duration, error) {
	var current unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &current)
	return time.Duration(current.Nano()), err
}

// New returns a clock from a function that reads the time since the machine booted.
func New(read func() time.Duration) *Clock { return &Clock{read: read} }

// Runtime returns the runtime's clock, for simulations and for tests in virtual time.
func Runtime() *Clock { return nil }

// Now returns the time from a reading that is at most refreshInterval old, advanced by the runtime's
// clock.
func (c *Clock) Now() time.Time {
	if c == nil || c.read == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if since := time.Since(c.runtimeBase); since < refreshInterval {
		return timeOf(c.base + since)
	}
	return c.refresh()
}

// Exact returns the time from a new reading.
func (c *Clock) Exact() time.Time {
	if c == nil || c.read == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refresh()
}

// refresh reads the system clock; mu must be held. The runtime's clock is read last, so that the next
// reading does not go back if the process is interrupted in between.
func (c *Clock) refresh() time.Time {
	c.base = c.read()
	c.runtimeBase = time.Now()
	return timeOf(c.base)
}

// Since returns the time elapsed since a time of this clock.
func (c *Clock) Since(earlier time.Time) time.Duration { return c.Now().Sub(earlier) }

func timeOf(since time.Duration) time.Time { return time.Unix(0, int64(since)) }
