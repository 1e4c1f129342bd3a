package hollow

import (
	"context"
	"sync"

	"github.com/reelrun/reelrun/sim/rehearsal"
)

// restartStride spreads the restarts over the zones.
const restartStride = 13

// runningRestarts are restarts under way, one at a time for each node.
type runningRestarts struct {
	running sync.WaitGroup

	mu   sync.Mutex
	busy map[string]bool
}

// start ends a node in the given way and starts it again. A node that is being
// restarted is left alone.
func (r *runningRestarts) start(fleet *rehearsal.Fleet, name string, end func(string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy == nil {
		r.busy = map[string]bool{}
	}
	if r.busy[name] {
		return
	}
	r.busy[name] = true
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		end(name)
		fleet.Start(name)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.busy, name)
	}()
}

func (r *runningRestarts) wait() { r.running.Wait() }

// onceEvery is how many requests pass between two that may not be repeated.
const onceEvery = 4

// startAny sends the next request of the mix through the balancer.
func (t *traffic) startAny() error {
	tenant := t.random.IntN(t.options.Tenants)
	call := t.completion(tenant, 1+t.random.IntN(answerTokens))
	if t.random.IntN(onceEvery) == 0 {
		call = t.onceCall(tenant)
	}
	return t.start(context.Background(), call, t.balanced())
}
