package hollow

import (
	"sync"

	"github.com/reelrun/reelrun/sim/rehearsal"
)

// restartStride distributes the restarts over the zones.
const restartStride = 13

// maxConcurrentShare is the largest share of the nodes that restart at the same time.
const maxConcurrentShare = 0.25

// restarter restarts nodes, a bounded number of them concurrently.
type restarter struct {
	fleet   *rehearsal.Fleet
	slots   chan struct{}
	running sync.WaitGroup
}

func newRestarter(fleet *rehearsal.Fleet) *restarter {
	slots := int(maxConcurrentShare * float64(len(fleet.NodeNames())))
	return &restarter{fleet: fleet, slots: make(chan struct{}, max(slots, 1))}
}

// restart ends a node with the given function and starts it again. It blocks while
// too many other nodes are restarting, but does not wait until the node is ready.
func (r *restarter) restart(name string, end func(string)) {
	r.slots <- struct{}{}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer func() { <-r.slots }()
		end(name)
		r.fleet.Start(name)
		_ = await(r.fleet.Node(name).Core.IsReady) // The verdict shows the effects of a late start.
	}()
}

func (r *restarter) wait() { r.running.Wait() }
