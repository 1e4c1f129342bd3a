package backendlimit

import "time"

// Charge is a call to a backend that names a limit.
type Charge struct {
	// Backend is the incarnation of the backend.
	Backend string
	// Rate is the limit that it names, in requests per second.
	Rate float64
	// Units is the number of requests that the call consists of.
	Units float64
	// Unconditional is set if the call is made without a grant. It is charged to later calls.
	Unconditional bool
}

// Grant is the decision on a Charge.
type Grant struct {
	Granted bool
	// RetryAfter is when there is credit again, if the charge was not granted.
	RetryAfter time.Duration
}

// minRate is the rate that is granted to a backend that names a lower one, in requests per second. Only responses show
// that a limit has been lifted, so the backend must be called sometimes.
const minRate = 0.1

// grantedShare is the share of a limit that is granted. The rest is for what coordinators, and nodes without one, grant
// at a time without knowing of each other.
const grantedShare = 0.9

// rate returns the rate that may be granted, in units per second.
func (c Charge) rate() float64 { return max(c.Rate*grantedShare, minRate) }

// decide decides on a charge by a bucket that has been refilled at a rate.
func (c Charge) decide(current *bucket, rate float64) Grant {
	if c.Unconditional {
		current.level -= c.Units
		return Grant{Granted: true}
	}
	if current.take(c.Units) {
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: current.wait(rate)}
}
