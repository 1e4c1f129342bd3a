package router

import (
	"sync"

	"github.com/reelrun/reelrun/objectapi"
)

// callCounts are counts since the last summary, by a name: of calls to the store by operation and kind,
// of answers by back end. It is safe for concurrent use.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *callCounts) add(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[name]++
}

// take returns the counts and begins anew.
func (c *callCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.counts
	c.counts = nil
	return taken
}

// CountStoreCall counts a call to the store, in the metrics and for the next summary.
func (r *Router) CountStoreCall(operation string, kind objectapi.Kind) {
	r.metrics.Add("store_calls_"+operation+"_"+string(kind), 1)
	r.storeCalls.add(operation + " " + string(kind))
}

// logStoreCalls writes how often this node has called the store since the last summary, if at all.
func (r *Router) logStoreCalls() {
	if counts := r.storeCalls.take(); len(counts) > 0 {
		r.options.Logger.Info("store calls", "calls", counts)
	}
}
