package coordinator

import (
	"slices"
	"time"

	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
)

const (
	// promptLifetime is the longest time for which a prompt counts as queued. If a prompt is older,
	// its node or the messages about it were lost.
	promptLifetime = 5 * time.Second
	// stallFactor and stallSlack bound the time that an engine may take for the prompt at the head
	// of its queue, relative to the expected time. Beyond the bound the engine counts as stalled. The
	// factor covers the variance of prefill times; the slack covers message delays and the error of
	// the initial estimate of the engine's rate.
	stallFactor = 3
	stallSlack  = 300 * time.Millisecond
)

// prefillQueue tracks the queued prompts of each prefill engine.
type prefillQueue struct {
	engines map[string]*prefillEngine
	// engineOf is the engine of each queued prompt.
	engineOf map[string]string
	// model estimates prefill times.
	model estimate.PrefillTime
}

// prefillEngine is one engine; it processes its prompts in the order of assignment.
type prefillEngine struct {
	prompts []prompt
	// lastDone is when the engine last finished a prefill.
	lastDone time.Duration
}

type prompt struct {
	id         string
	assignedAt time.Duration
	tokens     int
}

func newPrefillQueue() *prefillQueue {
	return &prefillQueue{engines: map[string]*prefillEngine{}, engineOf: map[string]string{}}
}

// engine returns the state of an engine, creating it for engines that are assigned prompts.
// Read-only paths treat an engine without state as idle.
func (q *prefillQueue) engine(id string) *prefillEngine {
	known := q.engines[id]
	if known == nil {
		known = &prefillEngine{}
		q.engines[id] = known
	}
	return known
}

// shortestPreferred is shortest among the engines for which preferred holds. The result is empty if
// none of them can have the prompt ready by the latest time.
func (q *prefillQueue) shortestPreferred(
	now time.Duration, engines []string, run ledger.Run, avoid map[string]bool, preferred func(id string) bool, latest time.Duration,
) (string, time.Duration) {
	var candidates []string
	for _, id := range engines {
		if preferred(id) {
			candidates = append(candidates, id)
		}
	}
	id, ready := q.shortest(now, candidates, run, avoid)
	if id == "" || ready > latest {
		return "", 0
	}
	return id, ready
}

// shortest returns the engine at which a prompt is prefilled first, and the time until then.
// Stalled engines are skipped.
func (q *prefillQueue) shortest(now time.Duration, engines []string, run ledger.Run, avoid map[string]bool) (string, time.Duration) {
	best, bestReady := "", time.Duration(0)
	for _, id := range engines {
		if avoid[id] {
			continue
		}
		q.expire(now, id)
		if q.isStalled(now, id) {
			continue
		}
		ready := q.backlog(now, id) + q.model.Duration(id, run.Prompt)
		if best == "" || ready < bestReady {
			best, bestReady = id, ready
		}
	}
	return best, bestReady
}

// expire drops prompts that have been queued for longer than promptLifetime.
func (q *prefillQueue) expire(now time.Duration, id string) {
	engine := q.engines[id]
	if engine == nil {
		return
	}
	engine.prompts = slices.DeleteFunc(engine.prompts, func(queued prompt) bool {
		old := now-queued.assignedAt > promptLifetime
		if old {
			delete(q.engineOf, queued.id)
		}
		return old
	})
}

// isStalled reports whether an engine has taken much longer than expected for its first prompt.
func (q *prefillQueue) isStalled(now time.Duration, id string) bool {
	engine := q.engines[id]
	if engine == nil || len(engine.prompts) == 0 {
		return false
	}
	expected := q.model.Duration(id, engine.prompts[0].tokens)
	return engine.busyFor(now) > stallFactor*expected+stallSlack
}

// hasPrefilledWithin reports whether an engine has finished a prefill within the given window.
func (q *prefillQueue) hasPrefilledWithin(now time.Duration, id string, window time.Duration) bool {
	known := q.engines[id]
	return known != nil && known.lastDone > 0 && now-known.lastDone < window
}

// busyFor returns how long the engine has worked on its first prompt.
func (e *prefillEngine) busyFor(now time.Duration) time.Duration {
	return now - max(e.prompts[0].assignedAt, e.lastDone)
}

// backlog returns the expected time until an engine has finished its queued prompts.
func (q *prefillQueue) backlog(now time.Duration, id string) time.Duration {
	engine := q.engines[id]
	if engine == nil || len(engine.prompts) == 0 {
		return 0
	}
	left := time.Duration(0)
	for _, queued := range engine.prompts {
		left += q.model.Duration(id, queued.tokens)
	}
	return left - min(engine.busyFor(now), q.model.Duration(id, engine.prompts[0].tokens))
}

// add puts a prompt into an engine's queue.
func (q *prefillQueue) add(now time.Duration, id string, run ledger.Run) {
	known := q.engine(id)
	known.prompts = append(known.prompts, prompt{id: run.ID, assignedAt: now, tokens: run.Prompt})
	q.engineOf[run.ID] = id
}

// complete removes a prompt that an engine has prefilled. If the engine is the assigned one, the
// duration of this prefill updates the model.
func (q *prefillQueue) complete(now time.Duration, id, engineID string) {
	assigned, done, known := q.remove(id)
	if !known || assigned != engineID {
		return
	}
	engine := q.engine(assigned)
	// The prefill began at the assignment or at the end of the previous one, whichever is later.
	q.model.Observe(assigned, done.tokens, now-max(done.assignedAt, engine.lastDone))
	engine.lastDone = now
}

// timeOut removes a prompt that its node no longer waits for, and records that the engine takes
// longer than the node has waited. Otherwise the model would never learn that all engines are slower
// than the initial estimate, because no node would wait until a prefill ends.
func (q *prefillQueue) timeOut(now time.Duration, id, engineID string) {
	assigned, abandoned, known := q.remove(id)
	if known && assigned == engineID {
		q.model.ObserveAtLeast(assigned, abandoned.tokens, now-max(abandoned.assignedAt, q.engine(assigned).lastDone))
	}
}

// drop removes a prompt that will not be prefilled.
func (q *prefillQueue) drop(id string) { _, _, _ = q.remove(id) }

// remove takes a prompt from its queue and returns the engine of the queue.
func (q *prefillQueue) remove(id string) (engineID string, removed prompt, known bool) {
	engineID, known = q.engineOf[id]
	if !known {
		return "", prompt{}, false
	}
	delete(q.engineOf, id)
	engine := q.engine(engineID)
	at := slices.IndexFunc(engine.prompts, func(queued prompt) bool { return queued.id == id })
	removed = engine.prompts[at]
	engine.prompts = slices.Delete(engine.prompts, at, at+1)
	return engineID, removed, true
}
