package hollow

import (
	"sync"

	"github.com/reelrun/reelrun/sim/rehearsal"
)

// restartStride spreads the restarts over the zones.
const restartStride = 13

// busyShare is the share of the nodes that are restarted at the same time at most.
const busyShare = 0.25

// restarter restarts nodes, a share of them at the same time.
type restarter struct {
	fleet   *rehearsal.Fleet
	slots   chan struct{}
	running sync.WaitGroup
}

func newRestarter(fleet *rehearsal.Fleet) *restarter {
	slots := int(busyShare * float64(len(fleet.NodeNames())))
	return &restarter{fleet: fleet, slots: make(chan struct{}, max(slots, 1))}
}

// restart ends a node in the given way and starts it again, as soon as few enough
// others are being restarted. It does not wait for the end.
func (r *restarter) restart(name string, end func(string)) {
	r.slots <- struct{}{}
	r.running.Add(1)
	go func() {
		defer r.running.Done()
		defer func() { <-r.slots }()
		end(name)
		r.fleet.Start(name)
		_ = await(r.fleet.Node(name).Core.IsReady) // The verdict shows what follows.
	}()
}

func (r *restarter) wait() { r.running.Wait() }
