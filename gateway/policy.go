package gateway

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Policy is how engines are chosen and when a request is refused. Each field
// was measured on its own; docs/BENCH.md has the figures.
type Policy struct {
	// OutputMargin is how much of the output that the caller expects is reserved at
	// an engine that the coordinator assigned. Default 0.1: an engine sets a
	// reservation aside as a whole until its run has ended, and the coordinator's
	// ledger already accounts for the growth of runs.
	OutputMargin float64
	// UncoordinatedOutputMargin is the same without a coordinator. Default 1.3: only the
	// reservations at the engine guard its memory then.
	UncoordinatedOutputMargin float64
	// RetryWait is how long a caller that was refused before waits for engines, as a share of
	// the time after which it leaves a silent stream. It is late whenever it is served, so that
	// it may wait while others go first; a second refusal helps it no more. Default 0.75: the
	// rest is for reading its prompt.
	RetryWait float64
	// UncoordinatedWait is how long a first attempt waits for memory without a coordinator, as a share
	// of the objective. Default 0.2: nobody knows then whether there will be any.
	UncoordinatedWait float64
	// ReservationLifetime is how long memory stays reserved until the answer
	// begins. Default 1.5s.
	ReservationLifetime time.Duration
	// ShortestRetryAfter and LongestRetryAfter bound when a refused caller is asked to come
	// back. Defaults 0.2s and 4.5s.
	ShortestRetryAfter time.Duration
	LongestRetryAfter  time.Duration
}

const (
	defaultOutputMargin        = 0.1
	defaultOutputMarginAlone   = 1.3
	defaultRetryWait           = 0.75
	defaultAloneWait           = 0.2
	defaultReservationLifetime = 1500 * time.Millisecond
	defaultShortestRetryAfter  = 200 * time.Millisecond
	defaultLongestRetryAfter   = 4500 * time.Millisecond
)

func (p *Policy) setDefaults() {
	p.OutputMargin = cmp.Or(p.OutputMargin, defaultOutputMargin)
	p.UncoordinatedOutputMargin = cmp.Or(p.UncoordinatedOutputMargin, defaultOutputMarginAlone)
	p.RetryWait = cmp.Or(p.RetryWait, defaultRetryWait)
	p.UncoordinatedWait = cmp.Or(p.UncoordinatedWait, defaultAloneWait)
	p.ReservationLifetime = cmp.Or(p.ReservationLifetime, defaultReservationLifetime)
	p.ShortestRetryAfter = cmp.Or(p.ShortestRetryAfter, defaultShortestRetryAfter)
	p.LongestRetryAfter = cmp.Or(p.LongestRetryAfter, defaultLongestRetryAfter)
}

// expectedOutput returns how many tokens a request is expected to make.
func expectedOutput(generation Generation) int {
	expected := generation.ExpectedOutputTokens
	if expected == 0 || expected > generation.MaxOutputTokens {
		return generation.MaxOutputTokens
	}
	return expected
}

// reservedTokens returns how much memory is reserved for a request, at an engine
// that the coordinator assigned or not.
func (p *Policy) reservedTokens(generation Generation, assigned bool) int {
	margin := p.UncoordinatedOutputMargin
	if assigned {
		margin = p.OutputMargin
	}
	output := int(float64(expectedOutput(generation)) * margin)
	return generation.PromptTokens + min(output, generation.MaxOutputTokens)
}

// retryAfter returns when a refused caller is to come back, given when capacity is
// expected. Callers that are refused together come back spread out.
func (p *Policy) retryAfter(wait time.Duration) time.Duration {
	const spread = 0.1
	after := time.Duration(float64(wait) * (1 + spread*rand.Float64()))
	return min(max(after, p.ShortestRetryAfter), p.LongestRetryAfter)
}
