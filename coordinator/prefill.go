package coordinator

import (
	"slices"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

const (
	// usualReadingPace is how many prompt tokens an engine reads in a second, before
	// its slowness is known.
	usualReadingPace = 50_000.0
	// slownessWeight is the weight of one prompt in an engine's slowness.
	slownessWeight = 0.2
	// Bounds of an engine's slowness.
	leastSlowness    = 0.7
	greatestSlowness = 5.0
	// promptLifetime is how long a prompt may be read. The node of an older one was
	// lost, or what it told.
	promptLifetime = 5 * time.Second
)

// prefillQueue follows the prompts that each prefill engine has before it.
type prefillQueue struct {
	engines map[string]*prefillEngine
	// reading names the engine of each prompt that is not read yet.
	reading map[string]string
}

// prefillEngine is one engine; it reads its prompts in the order in which it was
// given them.
type prefillEngine struct {
	prompts []prompt
	// doneAt is when it last had read one.
	doneAt time.Duration
	// slowness is how much longer than usual it takes.
	slowness float64
}

type prompt struct {
	id    string
	given time.Duration
	// usual is how long an engine takes that is not slow.
	usual time.Duration
}

func newPrefillQueue() *prefillQueue {
	return &prefillQueue{engines: map[string]*prefillEngine{}, reading: map[string]string{}}
}

func (q *prefillQueue) engine(id string) *prefillEngine {
	known := q.engines[id]
	if known == nil {
		known = &prefillEngine{slowness: 1}
		q.engines[id] = known
	}
	return known
}

// usualReading returns how long an engine that is not slow reads a prompt.
func usualReading(run ledger.Run) time.Duration {
	return time.Duration(float64(run.Prompt) / usualReadingPace * float64(time.Second))
}

// shortest returns the engine at which a prompt is read first, and how long that
// takes.
func (q *prefillQueue) shortest(now time.Duration, engines []string, run ledger.Run, avoid map[string]bool) (string, time.Duration) {
	best, bestReady := "", time.Duration(0)
	for _, id := range engines {
		if avoid[id] {
			continue
		}
		known := q.engine(id)
		q.forget(now, known)
		ready := known.backlog(now) + time.Duration(known.slowness*float64(usualReading(run)))
		if best == "" || ready < bestReady {
			best, bestReady = id, ready
		}
	}
	return best, bestReady
}

// forget drops prompts that are no longer read.
func (q *prefillQueue) forget(now time.Duration, engine *prefillEngine) {
	engine.prompts = slices.DeleteFunc(engine.prompts, func(given prompt) bool {
		old := now-given.given > promptLifetime
		if old {
			delete(q.reading, given.id)
		}
		return old
	})
}

// backlog returns how long the engine still reads the prompts that it has.
func (e *prefillEngine) backlog(now time.Duration) time.Duration {
	if len(e.prompts) == 0 {
		return 0
	}
	left := time.Duration(0)
	for _, given := range e.prompts {
		left += time.Duration(e.slowness * float64(given.usual))
	}
	first := e.prompts[0]
	already := min(now-max(first.given, e.doneAt), time.Duration(e.slowness*float64(first.usual)))
	return left - already
}

// add puts a prompt into an engine's queue.
func (q *prefillQueue) add(now time.Duration, id string, run ledger.Run) {
	known := q.engine(id)
	known.prompts = append(known.prompts, prompt{id: run.ID, given: now, usual: usualReading(run)})
	q.reading[run.ID] = id
}

// remove takes a prompt out of its queue: it has been read, or will not be.
func (q *prefillQueue) remove(now time.Duration, id string, wasRead bool) {
	engineID, known := q.reading[id]
	if !known {
		return
	}
	delete(q.reading, id)
	engine := q.engine(engineID)
	at := slices.IndexFunc(engine.prompts, func(given prompt) bool { return given.id == id })
	read := engine.prompts[at]
	engine.prompts = slices.Delete(engine.prompts, at, at+1)
	if wasRead {
		engine.learn(now, read)
	}
}

// learn takes note of how long the engine was busy with a prompt: since it was
// given it, or since it had read the one before.
func (e *prefillEngine) learn(now time.Duration, read prompt) {
	took := now - max(read.given, e.doneAt)
	e.doneAt = now
	if read.usual <= 0 {
		return
	}
	seen := min(max(took.Seconds()/read.usual.Seconds(), leastSlowness), greatestSlowness)
	e.slowness += slownessWeight * (seen - e.slowness)
}
