package coordinator

import (
	"slices"
	"time"

	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
)

const (
	// promptLifetime is how long a prompt may be read. The node of an older one was
	// lost, or its messages.
	promptLifetime = 5 * time.Second
	// overdueFactor and overdueSlack bound how long an engine may take for the prompt at the
	// head of its queue, given what is expected. Beyond that it seems to be silent. The
	// factor covers the spread of reading times; the slack covers the messages and the first
	// guess of an engine's pace.
	overdueFactor = 3
	overdueSlack  = 300 * time.Millisecond
)

// prefillQueue follows the prompts that each prefill engine has before it.
type prefillQueue struct {
	engines map[string]*prefillEngine
	// reading names the engine of each prompt that is not read yet.
	reading map[string]string
	// model learns how long engines take.
	model estimate.PrefillTime
}

// prefillEngine is one engine; it reads its prompts in the order in which it was
// given them.
type prefillEngine struct {
	prompts []prompt
	// doneAt is when it last had read one.
	doneAt time.Duration
}

type prompt struct {
	id     string
	given  time.Duration
	tokens int
}

func newPrefillQueue() *prefillQueue {
	return &prefillQueue{engines: map[string]*prefillEngine{}, reading: map[string]string{}}
}

// engine returns what is known of an engine that is given prompts. An engine that is only looked at has
// nothing before it.
func (q *prefillQueue) engine(id string) *prefillEngine {
	known := q.engines[id]
	if known == nil {
		known = &prefillEngine{}
		q.engines[id] = known
	}
	return known
}

// nearest returns the engine at which a prompt is read first among those for which isNear holds, if
// that is not later than the latest time. Otherwise the result is empty.
func (q *prefillQueue) nearest(
	now time.Duration, engines []string, run ledger.Run, avoid map[string]bool, isNear func(id string) bool, latest time.Duration,
) (string, time.Duration) {
	var near []string
	for _, id := range engines {
		if isNear(id) {
			near = append(near, id)
		}
	}
	id, ready := q.shortest(now, near, run, avoid)
	if id == "" || ready > latest {
		return "", 0
	}
	return id, ready
}

// shortest returns the engine at which a prompt is read first, and how long that
// takes. Engines that seem to be silent are passed over.
func (q *prefillQueue) shortest(now time.Duration, engines []string, run ledger.Run, avoid map[string]bool) (string, time.Duration) {
	best, bestReady := "", time.Duration(0)
	for _, id := range engines {
		if avoid[id] {
			continue
		}
		q.forget(now, id)
		if q.silent(now, id) {
			continue
		}
		ready := q.backlog(now, id) + q.model.Duration(id, run.Prompt)
		if best == "" || ready < bestReady {
			best, bestReady = id, ready
		}
	}
	return best, bestReady
}

// forget drops prompts that are no longer read.
func (q *prefillQueue) forget(now time.Duration, id string) {
	engine := q.engines[id]
	if engine == nil {
		return
	}
	engine.prompts = slices.DeleteFunc(engine.prompts, func(given prompt) bool {
		old := now-given.given > promptLifetime
		if old {
			delete(q.reading, given.id)
		}
		return old
	})
}

// silent reports whether an engine has been at its first prompt for much longer than it
// should take.
func (q *prefillQueue) silent(now time.Duration, id string) bool {
	engine := q.engines[id]
	if engine == nil || len(engine.prompts) == 0 {
		return false
	}
	expected := q.model.Duration(id, engine.prompts[0].tokens)
	return engine.busyFor(now) > overdueFactor*expected+overdueSlack
}

// readLately reports whether an engine has read a prompt in the time that has just passed.
func (q *prefillQueue) readLately(now time.Duration, id string, lately time.Duration) bool {
	known := q.engines[id]
	return known != nil && known.doneAt > 0 && now-known.doneAt < lately
}

// busyFor returns how long the engine has been at its first prompt.
func (e *prefillEngine) busyFor(now time.Duration) time.Duration {
	return now - max(e.prompts[0].given, e.doneAt)
}

// backlog returns how long an engine still reads the prompts that it has.
func (q *prefillQueue) backlog(now time.Duration, id string) time.Duration {
	engine := q.engines[id]
	if engine == nil || len(engine.prompts) == 0 {
		return 0
	}
	left := time.Duration(0)
	for _, given := range engine.prompts {
		left += q.model.Duration(id, given.tokens)
	}
	return left - min(engine.busyFor(now), q.model.Duration(id, engine.prompts[0].tokens))
}

// add puts a prompt into an engine's queue.
func (q *prefillQueue) add(now time.Duration, id string, run ledger.Run) {
	known := q.engine(id)
	known.prompts = append(known.prompts, prompt{id: run.ID, given: now, tokens: run.Prompt})
	q.reading[run.ID] = id
}

// read takes a prompt out of its queue, because an engine has read it. Where that is the
// engine of the queue, the time that it took for this prompt teaches its pace.
func (q *prefillQueue) read(now time.Duration, id, by string) {
	assigned, read, known := q.take(id)
	if !known || assigned != by {
		return
	}
	engine := q.engine(assigned)
	// Since it was given the prompt, or since it had read the one before.
	q.model.Observe(assigned, read.tokens, now-max(read.given, engine.doneAt))
	engine.doneAt = now
}

// overrun takes a prompt out of its queue that its node has given up, and learns that the
// engine takes longer than that. Without it engines that are all slower than the first guess
// would never be known: no prompt would be waited for until it is read.
func (q *prefillQueue) overrun(now time.Duration, id, by string) {
	assigned, given, known := q.take(id)
	if known && assigned == by {
		q.model.ObserveAtLeast(assigned, given.tokens, now-max(given.given, q.engine(assigned).doneAt))
	}
}

// drop takes a prompt out of its queue that will not be read.
func (q *prefillQueue) drop(id string) { _, _, _ = q.take(id) }

// take removes a prompt from its queue and returns the engine of that.
func (q *prefillQueue) take(id string) (engineID string, taken prompt, known bool) {
	engineID, known = q.reading[id]
	if !known {
		return "", prompt{}, false
	}
	delete(q.reading, id)
	engine := q.engine(engineID)
	at := slices.IndexFunc(engine.prompts, func(given prompt) bool { return given.id == id })
	taken = engine.prompts[at]
	engine.prompts = slices.Delete(engine.prompts, at, at+1)
	return engineID, taken, true
}
