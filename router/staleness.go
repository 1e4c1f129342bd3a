package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// staleAfter is how old a node's configuration may become, by what other nodes tell, before the node follows the
	// store itself. It compares with about four nodes in that time, and a configuration has 2 to 4 s to reach all.
	staleAfter = 1500 * time.Millisecond
	// staleSpread is by how much nodes differ in that, so that of many which are cut off together the first ones
	// follow the store and the others hear from them.
	staleSpread = 600 * time.Millisecond
	// followStaleFor is how long such a node follows the store at least. What others tell it meanwhile may be its own
	// word.
	followStaleFor = 15 * time.Second
)

// staleness decides when a node that leaves the store to others follows it all the same: the nodes that follow it may
// be out of reach while the store and callers are not. It is safe for concurrent use.
type staleness struct {
	// limit is how old the configuration may become.
	limit time.Duration

	mu sync.Mutex
	// until is when the node last found itself stale, and followStaleFor later.
	until time.Time
}

// newStaleness returns the decision of a node that is not stale, with its part of the spread.
func newStaleness() *staleness {
	return &staleness{limit: staleAfter + time.Duration((rand.Float64()-0.5)*float64(staleSpread))}
}

// observe takes note of the age of the configuration. It reports whether the node is to follow the store, and whether
// that has begun now.
func (s *staleness) observe(now time.Time, age time.Duration) (follows, began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	followed := now.Before(s.until)
	if age > s.limit {
		s.until = now.Add(followStaleFor)
	}
	follows = now.Before(s.until)
	return follows, follows && !followed
}

// isStale reports whether this node has to follow the store because no other node tells of a configuration that is
// new enough.
func (r *Router) isStale() bool {
	age := r.syncer.SyncStatus().UrgentAge
	follows, began := r.staleness.observe(time.Now(), age)
	if began {
		r.metrics.Add("followed_store_as_stale", 1)
		r.options.Logger.Warn("stale, follows the store", "age_ms", age.Milliseconds(),
			"nodes_known", r.nodeCount(), "nodes_responsive", r.responsiveCount())
	}
	return follows
}

// followsAllKinds reports whether this node, while it follows the store, follows all kinds. A stale node of a large
// fleet follows the configuration alone: where hundreds are cut off together, their lists of all nodes and back ends
// would hold the store up.
func (r *Router) followsAllKinds() bool { return r.isChosenToFollow() || !r.inLargeFleet.Load() }
