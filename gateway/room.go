package gateway

import (
	"math/rand/v2"
	"time"
)

// Bounds of the time after which a refused caller is told to come back. A caller
// follows it up to a third of the time that it has left.
const (
	shortestReturn = 1000 * time.Millisecond
	longestReturn  = 3500 * time.Millisecond
)

// roomEstimate tells when a decode engine is expected to have room.
type roomEstimate struct{}

// retryAfter spreads the returns of refused callers over the time in which runs
// end.
func (r *roomEstimate) retryAfter() time.Duration {
	return shortestReturn + time.Duration(rand.Int64N(int64(longestReturn-shortestReturn)))
}
