package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/ledger"
)

const (
	// usualReadingPace is how many prompt tokens an engine reads in a second, before
	// its slowness is known.
	usualReadingPace = 50_000.0
	// slownessWeight is the weight of one prompt in an engine's slowness.
	slownessWeight = 0.3
	// Bounds of an engine's slowness.
	leastSlowness    = 0.7
	greatestSlowness = 5.0
)

// prefillQueue follows the prompts that each prefill engine has before it.
type prefillQueue struct {
	engines map[string]*prefillEngine
	// reading holds the prompts that are being read.
	reading map[string]prompt
}

type prefillEngine struct {
	// busyUntil is when the prompts that it was given are expected to be read.
	busyUntil time.Duration
	// slowness is how much longer it takes than expected.
	slowness float64
}

type prompt struct {
	engine string
	// reading is how long it was expected to be read.
	reading time.Duration
	// usual is how long an engine takes that is not slow.
	usual time.Duration
	// alone is set where no other prompt was before it.
	alone bool
}

func newPrefillQueue() *prefillQueue {
	return &prefillQueue{engines: map[string]*prefillEngine{}, reading: map[string]prompt{}}
}

func (q *prefillQueue) engine(id string) *prefillEngine {
	known := q.engines[id]
	if known == nil {
		known = &prefillEngine{slowness: 1}
		q.engines[id] = known
	}
	return known
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
		ready := max(0, known.busyUntil-now) + known.reading(run)
		if best == "" || ready < bestReady {
			best, bestReady = id, ready
		}
	}
	return best, bestReady
}

// usualReading returns how long an engine that is not slow reads a prompt.
func usualReading(run ledger.Run) time.Duration {
	return time.Duration(float64(run.Prompt) / usualReadingPace * float64(time.Second))
}

// reading returns how long an engine is expected to read a prompt.
func (e *prefillEngine) reading(run ledger.Run) time.Duration {
	return time.Duration(e.slowness * float64(usualReading(run)))
}

// add puts a prompt into an engine's queue.
func (q *prefillQueue) add(now time.Duration, id string, run ledger.Run) {
	known := q.engine(id)
	reading := known.reading(run)
	alone := known.busyUntil <= now
	known.busyUntil = max(now, known.busyUntil) + reading
	q.reading[run.ID] = prompt{engine: id, reading: reading, usual: usualReading(run), alone: alone}
}

// done takes note of how long a prompt took; zero means that it was not read, so
// that those behind it wait less.
func (q *prefillQueue) done(id string, took time.Duration) {
	read, known := q.reading[id]
	delete(q.reading, id)
	if !known {
		return
	}
	engine := q.engine(read.engine)
	if took <= 0 {
		engine.busyUntil -= read.reading
		return
	}
	// Only a prompt that waited for no other one tells how slow its engine is.
	if !read.alone || read.usual <= 0 {
		return
	}
	seen := min(max(took.Seconds()/read.usual.Seconds(), leastSlowness), greatestSlowness)
	engine.slowness += slownessWeight * (seen - engine.slowness)
}
