package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// restoreStream numbers the random stream of the restores of the store.
const restoreStream = 9

// injectRestores makes copies of the store, and some seconds later has the store be unreachable for a time and come back
// from the copy. Operators and servers write again what is lost: before the nodes reach the store, or after it.
func (h *harness) injectRestores(random *rand.Rand, duration time.Duration) {
	until := time.Now().Add(duration)
	for time.Now().Before(until) {
		h.store.Copy()
		time.Sleep(time.Duration(1000+random.IntN(3000)) * time.Millisecond)
		outage := time.Duration(200+random.IntN(1500)) * time.Millisecond
		rewriteAfter := time.Duration(random.IntN(1500)) * time.Millisecond
		var outages sync.WaitGroup
		for _, n := range h.nodes {
			outages.Go(func() { h.interruptConnections(n.store, modeRefuse, outage) })
		}
		time.Sleep(outage / 2) //nolint:mnd // the middle of the outage
		h.store.Restore()
		time.Sleep(rewriteAfter)
		h.store.Rewrite("config", "servers")
		outages.Wait()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}
