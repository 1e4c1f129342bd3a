package sitemodel

import (
	"math"
	"slices"
	"time"
)

// run is a request at a decode engine.
type run struct {
	request *request
	// made is how many tokens it has made.
	made float64
	// entered orders runs by when they came; the newest is preempted first.
	entered int
	// since is when it was preempted.
	since time.Duration
	// setAside is memory that the engine keeps for it, used or not.
	setAside float64
}

// size is what the run fills, held what nobody else can have.
func (r *run) size() float64 { return float64(r.request.prompt) + r.made }
func (r *run) held() float64 { return max(r.size(), r.setAside) }

// decodeEngine lets all its runs make a token a step. Between two changes of its batch the
// step is taken as constant.
type decodeEngine struct {
	simulation *simulation
	id         int
	batch      []*run
	// preempted are runs that wait to be read anew.
	preempted []*run
	// reserved is memory set aside for runs that have not begun.
	reserved float64
	advanced time.Duration
	entries  int
	// epoch tells a planned event from one of an earlier batch.
	epoch int
	// linkFree is when its link is free.
	linkFree time.Duration
}

// used is the memory of the batch.
func (e *decodeEngine) used() float64 {
	total := 0.0
	for _, current := range e.batch {
		total += current.held()
	}
	return total
}

// step is the time of one token of each run.
func (e *decodeEngine) step() time.Duration {
	sheet := &e.simulation.sheet
	context := e.used() / 1000
	return sheet.Step + sheet.StepPerRun*time.Duration(len(e.batch)) + time.Duration(context*float64(sheet.StepPerThousand))
}

// advance lets the batch go on until now.
func (e *decodeEngine) advance() {
	now := e.simulation.Now()
	if len(e.batch) > 0 {
		tokens := float64(now-e.advanced) / float64(e.step())
		for _, current := range e.batch {
			current.made += tokens
		}
	}
	e.advanced = now
}

// fits reports whether the engine lets a run of a size in.
func (e *decodeEngine) fits(tokens float64) bool {
	e.advance()
	return len(e.batch) < e.simulation.sheet.Slots && e.used()+e.reserved+tokens <= float64(e.simulation.sheet.Memory)
}

// admit begins a run.
func (e *decodeEngine) admit(entering *run) {
	e.advance()
	e.entries++
	entering.entered = e.entries
	e.batch = append(e.batch, entering)
	e.plan()
}

// plan looks at the batch again when the next run ends or memory overflows.
func (e *decodeEngine) plan() {
	e.epoch++
	if len(e.batch) == 0 {
		e.resumePreempted()
		return
	}
	least := math.Inf(1)
	for _, current := range e.batch {
		least = min(least, float64(current.request.output)-current.made)
	}
	room := (float64(e.simulation.sheet.Memory) - e.used()) / float64(len(e.batch))
	steps := max(1, math.Ceil(min(least, room)))
	epoch := e.epoch
	e.simulation.After(time.Duration(steps*float64(e.step())), func() {
		if e.epoch == epoch {
			e.look()
		}
	})
}

// look ends what has ended and preempts what does not fit.
func (e *decodeEngine) look() {
	e.advance()
	var ended []*run
	e.batch = slices.DeleteFunc(e.batch, func(current *run) bool {
		if current.made < float64(current.request.output) {
			return false
		}
		ended = append(ended, current)
		return true
	})
	for len(e.batch) > 1 && e.used()+float64(len(e.batch)) > float64(e.simulation.sheet.Memory) {
		e.preempt()
	}
	e.resumePreempted()
	e.plan()
	for _, current := range ended {
		e.simulation.served(e, current)
	}
}

// preempt takes the newest run out of the batch.
func (e *decodeEngine) preempt() {
	newest := slices.MaxFunc(e.batch, func(a, b *run) int { return a.entered - b.entered })
	e.batch = slices.DeleteFunc(e.batch, func(current *run) bool { return current == newest })
	newest.since = e.simulation.Now()
	e.preempted = append(e.preempted, newest)
	e.simulation.preemptions++
}

// resumePreempted reads the first preempted run anew where there is room. A decode engine
// reads at half the pace.
func (e *decodeEngine) resumePreempted() {
	if len(e.preempted) == 0 || !e.fits(e.preempted[0].size()) {
		return
	}
	resumed := e.preempted[0]
	e.preempted = e.preempted[1:]
	e.simulation.readTokens += resumed.size()
	e.simulation.wastedTokens += resumed.size()
	reading := time.Duration(2 * resumed.size() / e.simulation.sheet.ReadPerMillisecond * float64(time.Millisecond))
	if e.simulation.Now()+reading-resumed.since > e.simulation.sheet.MaxPause {
		resumed.request.paused = true
	}
	e.simulation.After(reading, func() { e.admit(resumed) })
}

// prefillEngine reads one prompt at a time.
type prefillEngine struct {
	// free is when it will have read all that was given to it.
	free time.Duration
}
