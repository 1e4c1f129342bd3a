package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
)

// assign chooses a prefill and a decode engine for a request, or a decode engine that runs the
// prefill itself. It reports false if none of the engines can serve the request now.
func (c *Coordinator) assign(now time.Duration, current *serviceState, engines Engines, queued *waiter) (Assignment, bool) {
	request := queued.request
	avoid := make(map[string]bool, len(request.Avoid))
	for _, id := range request.Avoid {
		avoid[id] = true
	}
	run := request.Run
	run.CallerEstimate = run.Output
	run.Output = current.output.Mean(run.CallerEstimate, run.MaxOutput)
	prefill, ready := current.prefill.shortest(now, engines.Prefill, run, avoid)
	if prefill == "" || !c.meetsObjective(now, current, queued, prefill, ready) {
		current.shortRole = backend.RolePrefill
		if prefill != "" && current.decode.MemoryShare(now) > localPrefillMemoryShare {
			return Assignment{}, false
		}
		return c.assignLocalPrefill(now, current, engines, queued, run, avoid)
	}
	decode, ok := current.decode.AssignPreferring(now, run, avoid, c.inZoneOf(run.Holder, engines))
	if !ok {
		current.shortRole = backend.RoleDecode
		if current.utilization.due(now) {
			current.utilization.observe(now, current.decode.MemoryShare(now))
		}
		return Assignment{}, false
	}
	prefill, ready = c.preferSameZone(now, current, engines, queued, run, avoid, enginePair{prefill, decode, ready})
	current.prefill.add(now, prefill, run)
	return Assignment{Decode: decode, Prefill: prefill, PromptReady: ready, Output: run.Output}, true
}

// inZoneOf returns a predicate that holds for the engines in the zone of a node.
func (c *Coordinator) inZoneOf(holder string, engines Engines) func(engine string) bool {
	zone := c.options.ZoneOf(holder)
	return func(engine string) bool { return zone != "" && engines.zoneOf(engine) == zone }
}

// enginePair is the engines chosen for a run and the expected time until its prefill is done.
type enginePair struct {
	prefill, decode string
	promptReady     time.Duration
}

// preferSameZone returns a prefill engine in the zone of the decode engine, if one meets the
// objective and is ready no more than sameZoneAllowance after the chosen one. The KV cache of a
// prompt of 5,000 tokens takes 100 MB; a transfer between zones takes twice the time and twice the
// link capacity.
func (c *Coordinator) preferSameZone(
	now time.Duration, current *serviceState, engines Engines, queued *waiter, run ledger.Run, avoid map[string]bool, chosen enginePair,
) (prefill string, ready time.Duration) {
	zone := engines.zoneOf(chosen.decode)
	if zone == "" || engines.zoneOf(chosen.prefill) == zone {
		return chosen.prefill, chosen.promptReady
	}
	inZone := func(id string) bool { return engines.zoneOf(id) == zone }
	sameZone, sameZoneReady := current.prefill.shortestPreferred(now, engines.Prefill, run, avoid, inZone, chosen.promptReady+sameZoneAllowance)
	if sameZone == "" || !c.meetsObjective(now, current, queued, sameZone, sameZoneReady) {
		return chosen.prefill, chosen.promptReady
	}
	return sameZone, sameZoneReady
}

// sameZoneAllowance is how much later a prompt may be ready to keep the KV transfer within its
// zone: a small part of the objectives, which are 0.9 s and more.
const sameZoneAllowance = 40 * time.Millisecond

// assignLocalPrefill assigns a request that no prefill engine can serve in time to a decode engine
// that runs the prefill itself. A local prefill is slower and slows down the engine's other runs, so
// each decode engine gets one such prompt at a time.
func (c *Coordinator) assignLocalPrefill(
	now time.Duration, current *serviceState, engines Engines, queued *waiter, run ledger.Run, avoid map[string]bool,
) (Assignment, bool) {
	remaining := queued.request.Objective - (now - queued.since) - c.options.FirstToken
	expected := time.Duration(0)
	for _, engine := range engines.Decode {
		current.localPrefill.expire(now, engine.ID)
		ready := c.localPrefillTime(current, engine.ID, run.Prompt)
		if current.localPrefill.backlog(now, engine.ID) > 0 || ready > remaining {
			avoid[engine.ID] = true
		}
		expected = max(expected, ready)
	}
	decode, ok := current.decode.AssignPreferring(now, run, avoid, c.inZoneOf(run.Holder, engines))
	if !ok {
		return Assignment{}, false
	}
	current.localPrefill.add(now, decode, run)
	return Assignment{Decode: decode, LocalPrefill: true, PromptReady: expected, Output: run.Output}, true
}

// localPrefillTime returns the expected time of a local prefill on a decode engine.
func (c *Coordinator) localPrefillTime(current *serviceState, engine string, tokens int) time.Duration {
	if current.localPrefill.model.HasSamples() {
		return current.localPrefill.model.Duration(engine, tokens)
	}
	return initialLocalPrefillFactor * current.prefill.model.Duration(engine, tokens)
}

// meetsObjective reports whether the first token of a prompt that is prefilled after the given time
// is still in time. A request that is late already must not make others late. If the engine could
// not meet the objective even without a backlog, it still gets the prompt while it is idle, because
// a late response is better than none.
func (c *Coordinator) meetsObjective(now time.Duration, current *serviceState, queued *waiter, engine string, ready time.Duration) bool {
	prefillLimit := queued.request.Objective - c.options.FirstToken
	idle := current.prefill.backlog(now, engine) == 0
	if queued.request.Late {
		return idle || ready <= prefillLimit/2
	}
	if ready <= prefillLimit-(now-queued.since) {
		return true
	}
	unloaded := current.prefill.model.Duration(engine, queued.request.Run.Prompt)
	return idle && unloaded > prefillLimit
}
