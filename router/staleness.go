package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// staleAfter is the age of a node's configuration, according to other nodes, from which the node watches the store
	// itself. A node compares its replica with about four others in that time, and a configuration may take 2 to 4 s to
	// reach all nodes.
	staleAfter = 1500 * time.Millisecond
	// staleJitter is the range by which the limits of nodes differ, so that of many nodes that are partitioned together
	// the first watch the store and the others receive changes from them.
	staleJitter = 600 * time.Millisecond
	// staleWatchTime is the shortest time for which a stale node watches the store. What the node receives from others
	// in that time may be its own changes.
	staleWatchTime = 15 * time.Second
)

// staleness decides whether a node that is not a watcher must watch the store all the same, because the watchers may
// be unreachable while the store and the callers are reachable. It is safe for concurrent use.
type staleness struct {
	// limit is the highest acceptable age of the configuration.
	limit time.Duration

	mu sync.Mutex
	// until is the time of the last stale observation plus staleWatchTime.
	until time.Time
}

// newStaleness returns the staleness of a node that is not stale, with jitter.
func newStaleness() *staleness {
	return &staleness{limit: staleAfter + time.Duration((rand.Float64()-0.5)*float64(staleJitter))}
}

// observe records the age of the configuration. It reports whether the node must watch the store, and whether that
// has just begun.
func (s *staleness) observe(now time.Time, age time.Duration) (watches, began bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	watched := now.Before(s.until)
	if age > s.limit {
		s.until = now.Add(staleWatchTime)
	}
	watches = now.Before(s.until)
	return watches, watches && !watched
}

// isStale reports whether this node must watch the store because no other node confirms a recent enough
// configuration.
func (r *Router) isStale() bool {
	age := r.syncer.SyncStatus().UrgentAge
	watches, began := r.staleness.observe(time.Now(), age)
	if began {
		r.metrics.Add("followed_store_as_stale", 1)
		r.options.Logger.Warn("configuration is stale, watching the store", "age_ms", age.Milliseconds(),
			"nodes_known", r.nodeCount(), "nodes_responsive", r.responsiveCount())
	}
	return watches
}

// watchesAllKinds reports whether this node, while it watches the store, watches all kinds. A stale node of a large
// fleet watches the configuration only: if hundreds of nodes are partitioned together, their lists of all nodes and
// backends would overload the store.
func (r *Router) watchesAllKinds() bool { return r.isSelectedToWatch() || !r.inLargeFleet.Load() }
