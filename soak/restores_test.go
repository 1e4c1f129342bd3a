package soak

import (
	"encoding/json"
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
		h.renewEntries()
		outages.Wait()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// renewEntries has the backends whose entries are those of an earlier start write them again, as live servers do with each
// heartbeat.
func (h *harness) renewEntries() {
	for _, b := range h.registered() {
		spec, found := h.store.Spec("servers", b.id)
		var entry struct {
			StartedMillis int64  `json:"born"`
			State         string `json:"state"`
		}
		if !found || json.Unmarshal(spec, &entry) != nil || entry.StartedMillis == b.startedMillis.Load() {
			continue
		}
		stage := b.stage
		if b.engine != nil {
			stage = b.engine.Stage()
		}
		h.announce(b, entry.State, stage)
	}
}
