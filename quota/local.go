package quota

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

const (
	// localAdvance is how much of its share of the rate a node may use at once, in addition to its share of the
	// burst. Without it, limits were exceeded no less often in replays of random partitions; with 8 s, the
	// window over which limits are evaluated, they were exceeded after 75 of the partitions.
	localAdvance = time.Second
	// failoverTime is how long after its coordinator's last response a node grants every request. The next
	// coordinator is found within about a second, and receives the usage as a debt: a tenant that sends four
	// times its limit uses no more than the limit in the window around it.
	failoverTime = 800 * time.Millisecond
	// minRetryAfter is the minimum retry delay from a node without a coordinator: about the time in which it
	// finds one again.
	minRetryAfter = 500 * time.Millisecond
)

// LocalLimiter decides on the charges of one node without a coordinator, by a single node's equal share of each
// limit. In a large fleet that share is less than the cost of one request: such a request is granted with the
// probability at which the nodes together use the limit.
//
// This covers the loss of a coordinator, which lasts about a second, and nodes that reach none for longer. It
// is safe for concurrent use.
type LocalLimiter struct {
	// nodes returns how many nodes share a limit.
	nodes func() int
	// random returns numbers in [0, 1).
	random func() float64

	mu      sync.Mutex
	buckets map[string]*bucket
	// unreported is the usage, less refunds, that no coordinator has a record of.
	unreported map[string]float64
}

// NewLocalLimiter returns a limiter without usage.
func NewLocalLimiter(nodes func() int, random func() float64) *LocalLimiter {
	return &LocalLimiter{nodes: nodes, random: random, buckets: map[string]*bucket{}, unreported: map[string]float64{}}
}

// Decide decides on a charge of a tenant, given the time since the coordinator's last response.
func (l *LocalLimiter) Decide(now time.Duration, charged *tenant.Tenant, units float64, sinceResponse time.Duration) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := 1 / float64(max(1, l.nodes()))
	limit := charged.Quota
	limit.Burst += limit.Rate * localAdvance.Seconds()
	current := l.buckets[charged.Name]
	if current == nil {
		current = newBucket(now, limit, share)
		l.buckets[charged.Name] = current
	}
	current.refill(now, limit, share)
	if sinceResponse > failoverTime && !l.draw(current, units) {
		return Grant{TenantKnown: true, Level: current.level, RetryAfter: max(minRetryAfter, current.wait(0, share))}
	}
	current.level -= units
	l.unreported[charged.Name] += units
	return Grant{Granted: true, TenantKnown: true, Level: current.level}
}

// draw grants units that the level covers. A larger request is granted with the probability level/units, so that
// its expected usage is the level; the draw consumes the level whether or not the request is granted.
func (l *LocalLimiter) draw(current *bucket, units float64) bool {
	if current.level >= units {
		return true
	}
	if current.level <= 0 {
		return false
	}
	granted := l.random() < current.level/units
	current.level = 0
	if granted {
		current.level = units
	}
	return granted
}

// AddUnreported adds units that were used without a call to a coordinator, or refunded if negative.
func (l *LocalLimiter) AddUnreported(name string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreported[name] += units
}

// TakeUnreported returns and clears a tenant's usage that no coordinator has a record of. The result is empty
// if there is none.
func (l *LocalLimiter) TakeUnreported(name string) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	units := l.unreported[name]
	if units == 0 {
		return nil
	}
	delete(l.unreported, name)
	return []Usage{{Tenant: name, Unreported: units}}
}

// TakeAllUnreported is TakeUnreported for all tenants.
func (l *LocalLimiter) TakeAllUnreported() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages []Usage
	for name, units := range l.unreported {
		if units != 0 {
			usages = append(usages, Usage{Tenant: name, Unreported: units})
		}
	}
	clear(l.unreported)
	return usages
}

// RestoreUnreported adds usage back whose report was not answered.
func (l *LocalLimiter) RestoreUnreported(usages []Usage) {
	for _, usage := range usages {
		l.AddUnreported(usage.Tenant, usage.Unreported)
	}
}
