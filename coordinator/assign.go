package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
)

func (c *Coordinator) assign(now time.Duration, current *serviceState, engines Engines, queued *waiter) (Assignment, bool) {
	request := queued.request
	avoid := make(map[string]bool, len(request.Avoid))
	for _, id := range request.Avoid {
		avoid[id] = true
	}
	run := request.Run
	run.CallerEstimate = run.Output
	run.Output = current.output.Mean(run.CallerEstimate, run.MaxOutput)
	reader, ready := current.prefill.shortest(now, engines.Prefill, run, avoid)
	if reader == "" || !c.isTimely(now, current, queued, reader, ready) {
		current.short = backend.RolePrefill
		if reader != "" && current.decode.MemoryShare(now) > overflowMemoryShare {
			return Assignment{}, false
		}
		return c.assignOverflow(now, current, engines, queued, run, avoid)
	}
	decoder, ok := current.decode.AssignPreferring(now, run, avoid, c.nearTo(run.Holder, engines))
	if !ok {
		current.short = backend.RoleDecode
		if current.fill.due(now) {
			current.fill.observe(now, current.decode.MemoryShare(now))
		}
		return Assignment{}, false
	}
	reader, ready = c.preferSameZone(now, current, engines, queued, run, avoid, assignedPair{reader, decoder, ready})
	current.prefill.add(now, reader, run)
	return Assignment{Decode: decoder, Prefill: reader, PromptReady: ready, Output: run.Output}, true
}

// nearTo returns which engines are in the zone of a node.
func (c *Coordinator) nearTo(holder string, engines Engines) func(engine string) bool {
	zone := c.options.ZoneOf(holder)
	return func(engine string) bool { return zone != "" && engines.zoneOf(engine) == zone }
}

// assignedPair is the engines of a run, and after what time its prompt is read.
type assignedPair struct {
	reader, decoder string
	ready           time.Duration
}

// preferSameZone returns a prefill engine in the zone of the decode engine, if there is one that
// reads the prompt in time and not much later than the first of all. The KV cache of a prompt of
// 5,000 tokens has 100 MB; between zones it takes twice the time, and of the links' capacity.
func (c *Coordinator) preferSameZone(
	now time.Duration, current *serviceState, engines Engines, queued *waiter, run ledger.Run, avoid map[string]bool, given assignedPair,
) (reader string, ready time.Duration) {
	zone := engines.zoneOf(given.decoder)
	if zone == "" || engines.zoneOf(given.reader) == zone {
		return given.reader, given.ready
	}
	isNear := func(id string) bool { return engines.zoneOf(id) == zone }
	near, nearReady := current.prefill.nearest(now, engines.Prefill, run, avoid, isNear, given.ready+sameZoneAllowance)
	if near == "" || !c.isTimely(now, current, queued, near, nearReady) {
		return given.reader, given.ready
	}
	return near, nearReady
}

// sameZoneAllowance is how much later a prompt may be read for a transfer within its zone: a
// small part of the objectives, of 0.9 s and more.
const sameZoneAllowance = 40 * time.Millisecond

// assignOverflow gives a request for which no prefill engine has time to a decode engine that
// reads the prompt itself. It reads more slowly, and its other runs are slow meanwhile, so that
// each engine is given one such prompt at a time.
func (c *Coordinator) assignOverflow(
	now time.Duration, current *serviceState, engines Engines, queued *waiter, run ledger.Run, avoid map[string]bool,
) (Assignment, bool) {
	left := queued.request.Objective - (now - queued.since) - c.options.FirstToken
	expected := time.Duration(0)
	for _, engine := range engines.Decode {
		current.selfReading.forget(now, engine.ID)
		ready := c.selfReadingTime(current, engine.ID, run.Prompt)
		if current.selfReading.backlog(now, engine.ID) > 0 || ready > left {
			avoid[engine.ID] = true
		}
		expected = max(expected, ready)
	}
	decoder, ok := current.decode.AssignPreferring(now, run, avoid, c.nearTo(run.Holder, engines))
	if !ok {
		return Assignment{}, false
	}
	current.selfReading.add(now, decoder, run)
	return Assignment{Decode: decoder, LocalPrefill: true, PromptReady: expected, Output: run.Output}, true
}

// selfReadingTime returns how long a decode engine is expected to take for a prompt that it
// reads itself.
func (c *Coordinator) selfReadingTime(current *serviceState, engine string, tokens int) time.Duration {
	if current.selfReading.model.HasSamples() {
		return current.selfReading.model.Duration(engine, tokens)
	}
	return firstSelfReadingFactor * current.prefill.model.Duration(engine, tokens)
}

// isTimely reports whether a prompt that an engine has read after the given time still gives
// its first token in time. A request that is late whenever it is served must not keep others
// from being in time. Where an engine could not be in time even if it had nothing else to read,
// a late answer is better than none, as long as no other prompt waits for it.
func (c *Coordinator) isTimely(now time.Duration, current *serviceState, queued *waiter, reader string, ready time.Duration) bool {
	within := queued.request.Objective - c.options.FirstToken
	idle := current.prefill.backlog(now, reader) == 0
	if queued.request.Late {
		return idle || ready <= within/2
	}
	if ready <= within-(now-queued.since) {
		return true
	}
	alone := current.prefill.model.Duration(reader, queued.request.Run.Prompt)
	return idle && alone > within
}
