package backendlimit

import (
	"sync"
	"time"
)

const (
	// burstUnits and burstTime bound the credit of a backend that is called less often than its limit allows: this
	// number of units, and the credit of this time. Random arrivals come in groups, which would be rejected without it.
	// Backends tolerate five requests and half of their limit in addition to the limit itself.
	burstUnits = 2
	burstTime  = 250 * time.Millisecond
	// fullShare is the share of responsive nodes that counts as all of them: some node is nearly always starting.
	fullShare = 0.9
)

// Nodes describes the fleet as one node sees it.
type Nodes struct {
	// All counts the nodes, and Responsive those that answer, including this one.
	All, Responsive int
}

// share returns the share of each limit that belongs to the responsive nodes. The others may have another coordinator,
// or none.
func (n Nodes) share() float64 {
	share := float64(n.Responsive) / float64(max(1, n.All))
	if share >= fullShare {
		return 1
	}
	return share
}

// Coordinator grants the calls of all nodes. It is safe for concurrent use.
type Coordinator struct {
	nodes func() Nodes

	mu      sync.Mutex
	buckets buckets
}

// NewCoordinator returns a coordinator without credit.
func NewCoordinator(nodes func() Nodes) *Coordinator {
	return &Coordinator{nodes: nodes}
}

// Decide decides on a charge.
func (c *Coordinator) Decide(now time.Duration, charge Charge) Grant {
	rate := charge.rate() * c.nodes().share()
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.buckets.of(now, charge.Backend)
	current.refill(now, rate, burstUnits+rate*burstTime.Seconds())
	return charge.decide(current, rate)
}
