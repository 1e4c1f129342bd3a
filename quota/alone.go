package quota

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

const (
	// aloneAdvance is how much of its part of the rate a node may use at once, on top of its part of
	// the burst. With none, random partitions exceeded limits no less often (replays); with 8 s, the
	// time over which limits are judged, they did after 75 of them.
	aloneAdvance = time.Second
	// briefLoss is how long after its coordinator's last answer a node grants whatever is asked.
	// The next coordinator is found within about a second, and gets what was used as a debt: a
	// tenant that sends four times its limit uses no more than the limit in the window around.
	briefLoss = 800 * time.Millisecond
	// shortestRetryAfter bounds from below when a caller is asked to come back to a node that
	// decides alone: about the time in which it finds a coordinator again.
	shortestRetryAfter = 500 * time.Millisecond
)

// LocalLimiter decides on the charges of one node that no coordinator answers, by the equal part of each
// limit that belongs to a single node. In a large fleet that part is less than a single request
// costs: such a request is granted with the probability by which the nodes together use the limit.
//
// It answers the loss of a coordinator, which lasts about a second, and nodes that are cut off
// for longer. It is safe for concurrent use.
type LocalLimiter struct {
	// nodes returns how many nodes share a limit.
	nodes func() int
	// random returns numbers from 0 up to 1.
	random func() float64

	mu      sync.Mutex
	buckets map[string]*bucket
	// unreported is what was used, and less what was given back, that no coordinator knows of.
	unreported map[string]float64
}

// NewLocalLimiter returns the decisions of a node that has used nothing.
func NewLocalLimiter(nodes func() int, random func() float64) *LocalLimiter {
	return &LocalLimiter{nodes: nodes, random: random, buckets: map[string]*bucket{}, unreported: map[string]float64{}}
}

// Take decides on a charge of a tenant, so long after the coordinator's last answer.
func (a *LocalLimiter) Take(now time.Duration, charged *tenant.Tenant, units float64, sinceAnswer time.Duration) Grant {
	a.mu.Lock()
	defer a.mu.Unlock()
	part := 1 / float64(max(1, a.nodes()))
	limit := charged.Quota
	limit.Burst += limit.Rate * aloneAdvance.Seconds()
	kept := a.buckets[charged.Name]
	if kept == nil {
		kept = newBucket(now, limit, part)
		a.buckets[charged.Name] = kept
	}
	kept.refill(now, limit, part)
	if sinceAnswer > briefLoss && !a.draw(kept, units) {
		return Grant{TenantKnown: true, Level: kept.level, RetryAfter: max(shortestRetryAfter, kept.wait(0, part))}
	}
	kept.level -= units
	a.unreported[charged.Name] += units
	return Grant{Granted: true, TenantKnown: true, Level: kept.level}
}

// draw grants units that are there, and a larger request by chance: the level is the expected use
// either way, and is used up by the draw.
func (a *LocalLimiter) draw(kept *bucket, units float64) bool {
	if kept.level >= units {
		return true
	}
	if kept.level <= 0 {
		return false
	}
	granted := a.random() < kept.level/units
	kept.level = 0
	if granted {
		kept.level = units
	}
	return granted
}

// Note notes units that were used without asking, or given back where they are negative.
func (a *LocalLimiter) Note(name string, units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unreported[name] += units
}

// TakeUnreported returns what was used of a tenant's limit that no coordinator knows of, and
// forgets it. The result is empty where there is nothing.
func (a *LocalLimiter) TakeUnreported(name string) []Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	units := a.unreported[name]
	if units == 0 {
		return nil
	}
	delete(a.unreported, name)
	return []Use{{Tenant: name, Unreported: units}}
}

// TakeAllUnreported is TakeUnreported for all tenants.
func (a *LocalLimiter) TakeAllUnreported() []Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	var uses []Use
	for name, units := range a.unreported {
		if units != 0 {
			uses = append(uses, Use{Tenant: name, Unreported: units})
		}
	}
	clear(a.unreported)
	return uses
}

// PutBack notes uses whose report was not answered.
func (a *LocalLimiter) PutBack(uses []Use) {
	for _, use := range uses {
		a.Note(use.Tenant, use.Unreported)
	}
}
