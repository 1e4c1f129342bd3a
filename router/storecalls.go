package router

import (
	"sync"

	"github.com/reelrun/reelrun/objectapi"
)

// callCounts counts events by name since the last summary: calls to the store by operation and kind, or
// repeated notices by backend. It is safe for concurrent use.
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

// take returns the counts and resets them.
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

// logStoreCalls logs the calls of this node to the store since the last summary, if any.
func (r *Router) logStoreCalls() {
	if counts := r.storeCalls.take(); len(counts) > 0 {
		r.options.Logger.Info("store calls", "calls", counts)
	}
}
