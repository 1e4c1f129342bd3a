package backendlimit

import (
	"sync"
	"time"
)

const (
	// localBurstUnits and localBurstTime bound the credit that all nodes together accumulate while they have no
	// coordinator. Backends tolerate five requests and the credit of two seconds in addition to their limit.
	localBurstUnits = 4
	localBurstTime  = 2 * time.Second
)

// LocalLimiter grants the calls of one node that gets no response from a coordinator, by a single node's equal share
// of each limit. In a large fleet, less than one unit of that share may accumulate: a call is then granted with a
// probability equal to the credit. It is safe for concurrent use.
type LocalLimiter struct {
	nodes func() Nodes
	// random returns numbers in [0, 1).
	random func() float64

	mu      sync.Mutex
	buckets buckets
}

// NewLocalLimiter returns a limiter without credit.
func NewLocalLimiter(nodes func() Nodes, random func() float64) *LocalLimiter {
	return &LocalLimiter{nodes: nodes, random: random}
}

// Decide decides on a charge.
func (l *LocalLimiter) Decide(now time.Duration, charge Charge) Grant {
	share := 1 / float64(max(1, l.nodes().All))
	rate := charge.rate() * share
	burst := min(1, (localBurstUnits+charge.rate()*localBurstTime.Seconds())*share/max(1, charge.Units))
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.buckets.of(now, charge.Backend)
	current.refill(now, rate, burst)
	if burst < 1 && current.level > 0 {
		l.draw(current)
	}
	return charge.decide(current, rate)
}

// draw replaces a part of a unit by a whole unit, with a probability equal to that part, or else by nothing.
func (l *LocalLimiter) draw(current *bucket) {
	if l.random() < current.level {
		current.level = 1
		return
	}
	current.level = 0
}

// Reset discards the credit of a backend, once a coordinator grants its calls.
func (l *LocalLimiter) Reset(now time.Duration, backend string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.discard(now, backend)
}
