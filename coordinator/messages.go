package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/ledger"
)

const (
	// pauseFull is how long an engine that had no capacity is given no run.
	pauseFull = 120 * time.Millisecond
	// pauseClosed is the same after an engine had capacity and did not take the run.
	pauseClosed = 2 * time.Second
)

// Request asks for engines.
type Request struct {
	Service string
	Run     ledger.Run
	// Wait is how long the request may wait for engines. A first attempt waits no longer than it
	// can be in time.
	Wait time.Duration
	// Objective is the time in which the first token is to come. A prompt that would
	// wait too long for it is not accepted.
	Objective time.Duration
	// Probe is set where the sender asks again if no capacity is free now: it does not wait, and
	// Wait is how long it will when it asks again. Again is set then.
	Probe, Again bool
	// Late is set for a request that is late whatever becomes of it: that of a caller that
	// was refused before, or the rest of a stream that broke off.
	Late bool
	// TenantPriority is the rank of its tenant, and Priority that of its route, which counts after
	// it; 0 is the highest.
	TenantPriority, Priority int
	// AboveUsual is set where its tenant has nearly used up its limit.
	AboveUsual bool
	// Avoid names engines that must not be given.
	Avoid []string
}

// Assignment answers a Request.
type Assignment struct {
	// Decode and Prefill name engines; they are empty where no capacity is free.
	Decode  string
	Prefill string
	// LocalPrefill is set where the decode engine reads the prompt; Prefill is empty then.
	LocalPrefill bool
	// RetryAfter is when capacity is expected, where there is none.
	RetryAfter time.Duration
	// PromptReady is how long it is expected to take until the prompt has been read.
	PromptReady time.Duration
	// Output is how many tokens the run is expected to make.
	Output int
	// ShortRole is the role of which there were too few engines, where no capacity is free.
	ShortRole string
}

// RunResult reports a run that is over.
type RunResult struct {
	Service string
	ID      string
	// Duration is how long the answer took, if it was whole; otherwise zero.
	Duration time.Duration
	// Output is how many tokens a whole answer had.
	Output int
	// FirstEvent is how long it took until the first event of a whole answer, and Rest how many
	// tokens came after that.
	FirstEvent time.Duration
	RestTokens int
	// Refusal is set where the engine did not take it.
	Refusal Refusal
}

// EngineFailure reports an engine that did not do what it was asked.
type EngineFailure struct {
	Service string
	Engine  string
	// ID names the run whose prompt it has not read.
	ID string
	// TimedOut is set where it said nothing in time, and may only be busy.
	TimedOut bool
}

// Refusal is how an engine did not take a run, or left it.
type Refusal int32

// The refusals.
const (
	// RefusalNone is that of a run that was taken.
	RefusalNone Refusal = iota
	// RefusalFull is that of an engine without capacity.
	RefusalFull
	// RefusalUnavailable is that of an engine that had capacity and took the run all the same
	// not: it is changing its role, say, which nobody who lives knows of.
	RefusalUnavailable
	// RefusalFailed is that of an engine that gave no answer, or broke it off.
	RefusalFailed
)

// pause returns how long an engine is given no run after a refusal.
func (r Refusal) pause() time.Duration {
	switch r {
	case RefusalFull:
		return pauseFull
	case RefusalUnavailable:
		return pauseClosed
	default:
		return 0
	}
}
