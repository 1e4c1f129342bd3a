package coordinator

import (
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
)

const (
	// pauseFull is how long an engine without capacity gets no run.
	pauseFull = 120 * time.Millisecond
	// pauseUnavailable is how long an engine gets no run after it rejected one although it had
	// capacity.
	pauseUnavailable = 2 * time.Second
)

// Request is a request for the engines of one run.
type Request struct {
	Service string
	Run     ledger.Run
	// Wait is how long the request may wait for engines. A first attempt waits only as long as it
	// can still meet the objective.
	Wait time.Duration
	// Objective is the time in which the first token is due. A prompt that would be queued for too
	// long to meet it is not accepted.
	Objective time.Duration
	// Probe is set if the sender will repeat the request when no capacity is free now: the request
	// does not wait, and Wait is how long the repeated one will wait. AfterProbe is set in the
	// repeated request.
	Probe, AfterProbe bool
	// Late is set for a request that can no longer meet its objective: a client retry after a
	// rejection, or the rest of an interrupted stream.
	Late bool
	// TenantPriority is the priority of the tenant, and Priority that of the route, which orders
	// requests of equal tenant priority; 0 is the highest.
	TenantPriority, Priority int
	// AboveUsual is set if the tenant has nearly used up its limit, which is well above its usual
	// rate.
	AboveUsual bool
	// Avoid names engines that must not be assigned.
	Avoid []string
	// Version constrains the software of the engines: a stream continues only at the version that began it.
	Version backend.VersionConstraint
}

// Assignment is the response to a Request.
type Assignment struct {
	// Decode and Prefill name the engines; they are empty if no capacity is free.
	Decode  string
	Prefill string
	// LocalPrefill is set if the decode engine runs the prefill; Prefill is empty then.
	LocalPrefill bool
	// RetryAfter is the time until capacity is expected, if none is free.
	RetryAfter time.Duration
	// PromptReady is the expected time until the prefill is done.
	PromptReady time.Duration
	// Output is the expected number of output tokens of the run.
	Output int
	// ShortRole is the role that is short of engines, if no capacity is free.
	ShortRole string
}

// RunResult reports the end of a run.
type RunResult struct {
	Service string
	ID      string
	// Duration is the duration of a run with complete output, otherwise zero.
	Duration time.Duration
	// Output is the number of tokens of a complete output.
	Output int
	// FirstEvent is the time to the first event of a complete output, and RestTokens is the number
	// of tokens after that event.
	FirstEvent time.Duration
	RestTokens int
	// Rejection is set if the engine did not take the run or did not complete it.
	Rejection Rejection
}

// EngineFailure reports an engine that failed an operation.
type EngineFailure struct {
	Service string
	Engine  string
	// ID identifies the run whose prompt the engine did not prefill.
	ID string
	// TimedOut is set if the engine did not answer in time; it may only be busy.
	TimedOut bool
}

// Rejection is how an engine rejected or failed a run.
type Rejection int32

// Kinds of rejections.
const (
	// RejectionNone means that the engine accepted the run.
	RejectionNone Rejection = iota
	// RejectionFull means that the engine had no capacity.
	RejectionFull
	// RejectionUnavailable means that the engine rejected the run although it had capacity, for
	// example during a role change of which no live node has a record.
	RejectionUnavailable
	// RejectionFailed means that the engine gave no response or broke off its output.
	RejectionFailed
)

// pause returns how long an engine gets no run after a rejection.
func (r Rejection) pause() time.Duration {
	switch r {
	case RejectionFull:
		return pauseFull
	case RejectionUnavailable:
		return pauseUnavailable
	default:
		return 0
	}
}
