package sitemodel

import (
	"math"
	"slices"
	"time"
)

// run is a request at a decode engine.
type run struct {
	request *request
	// generated is the number of tokens generated so far.
	generated float64
	// sequence orders runs by admission; the newest is preempted first.
	sequence int
	// preemptedAt is when it was preempted.
	preemptedAt time.Duration
	// reserved is the memory, in tokens, that the engine keeps for it, used or not.
	reserved float64
}

// size is the memory, in tokens, that the run uses, and occupied the memory that is unavailable
// to other runs.
func (r *run) size() float64     { return float64(r.request.prompt) + r.generated }
func (r *run) occupied() float64 { return max(r.size(), r.reserved) }

// decodeEngine generates one token of each of its runs per step. The step time is taken as
// constant between two changes of the batch.
type decodeEngine struct {
	simulation *simulation
	id         int
	batch      []*run
	// preempted are runs that wait for the recomputation of their tokens.
	preempted []*run
	// reserved is the memory, in tokens, reserved for runs that have not started.
	reserved float64
	// advancedTo is the time up to which the tokens of the batch have been added.
	advancedTo time.Duration
	// admissions counts the runs admitted so far.
	admissions int
	// epoch is the number of the batch; events scheduled for an earlier one are ignored.
	epoch int
	// linkFreeAt is when its link becomes free.
	linkFreeAt time.Duration
}

// used returns the memory that the batch occupies, in tokens.
func (e *decodeEngine) used() float64 {
	total := 0.0
	for _, current := range e.batch {
		total += current.occupied()
	}
	return total
}

// step returns the time of one decode step.
func (e *decodeEngine) step() time.Duration {
	site := &e.simulation.site
	context := e.used() / 1000
	return site.Step + site.StepPerRun*time.Duration(len(e.batch)) + time.Duration(context*float64(site.StepPerThousand))
}

// advance adds the tokens that the batch has generated since the last call.
func (e *decodeEngine) advance() {
	now := e.simulation.Now()
	if len(e.batch) > 0 {
		tokens := float64(now-e.advancedTo) / float64(e.step())
		for _, current := range e.batch {
			current.generated += tokens
		}
	}
	e.advancedTo = now
}

// fits reports whether the engine has capacity for a run of the given size.
func (e *decodeEngine) fits(tokens float64) bool {
	e.advance()
	return len(e.batch) < e.simulation.site.Slots && e.used()+e.reserved+tokens <= float64(e.simulation.site.Memory)
}

// admit adds a run to the batch.
func (e *decodeEngine) admit(entering *run) {
	e.advance()
	e.admissions++
	entering.sequence = e.admissions
	e.batch = append(e.batch, entering)
	e.schedule()
}

// schedule plans the next update, for when the first run ends or memory overflows.
func (e *decodeEngine) schedule() {
	e.epoch++
	if len(e.batch) == 0 {
		e.resumePreempted()
		return
	}
	remaining := math.Inf(1)
	for _, current := range e.batch {
		remaining = min(remaining, float64(current.request.output)-current.generated)
	}
	freePerRun := (float64(e.simulation.site.Memory) - e.used()) / float64(len(e.batch))
	steps := max(1, math.Ceil(min(remaining, freePerRun)))
	epoch := e.epoch
	e.simulation.After(time.Duration(steps*float64(e.step())), func() {
		if e.epoch == epoch {
			e.update()
		}
	})
}

// update completes runs that have ended and preempts runs that do not fit.
func (e *decodeEngine) update() {
	e.advance()
	var ended []*run
	e.batch = slices.DeleteFunc(e.batch, func(current *run) bool {
		if current.generated < float64(current.request.output) {
			return false
		}
		ended = append(ended, current)
		return true
	})
	for len(e.batch) > 1 && e.used()+float64(len(e.batch)) > float64(e.simulation.site.Memory) {
		e.preempt()
	}
	e.resumePreempted()
	e.schedule()
	for _, current := range ended {
		e.simulation.served(e, current)
	}
}

// preempt removes the newest run from the batch.
func (e *decodeEngine) preempt() {
	newest := slices.MaxFunc(e.batch, func(a, b *run) int { return a.sequence - b.sequence })
	e.batch = slices.DeleteFunc(e.batch, func(current *run) bool { return current == newest })
	newest.preemptedAt = e.simulation.Now()
	e.preempted = append(e.preempted, newest)
	e.simulation.preemptions++
}

// resumePreempted recomputes the tokens of the first preempted run if there is capacity. A
// decode engine prefills at half the rate of a prefill engine.
func (e *decodeEngine) resumePreempted() {
	if len(e.preempted) == 0 || !e.fits(e.preempted[0].size()) {
		return
	}
	resumed := e.preempted[0]
	e.preempted = e.preempted[1:]
	e.simulation.prefilledTokens += resumed.size()
	e.simulation.wastedTokens += resumed.size()
	recomputation := time.Duration(2 * resumed.size() / e.simulation.site.PrefillPerMillisecond * float64(time.Millisecond))
	if e.simulation.Now()+recomputation-resumed.preemptedAt > e.simulation.site.MaxPause {
		resumed.request.paused = true
	}
	e.simulation.After(recomputation, func() { e.admit(resumed) })
}

// prefillEngine prefills one prompt at a time.
type prefillEngine struct {
	// freeAt is when it will have prefilled all prompts assigned to it.
	freeAt time.Duration
}
