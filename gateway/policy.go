package gateway

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Policy controls how engines are chosen and when a request is rejected. docs/BENCH.md has the effect of each
// field, measured separately.
type Policy struct {
	// OutputMargin is the share of the output expected by the caller that is reserved at an engine that the
	// coordinator assigned. Default 0.1: an engine blocks the whole reservation until its run has ended, and
	// the coordinator's ledger already accounts for the growth of runs.
	OutputMargin float64
	// UncoordinatedOutputMargin is the same share without a coordinator. Default 1.3: without a
	// coordinator, only the reservations at the engine protect its memory.
	UncoordinatedOutputMargin float64
	// RetryWait is how long a client retry waits for engines, as a share of the time after which its caller
	// disconnects from a stream without events. A client retry is late whenever it is served, so it may
	// wait while others go first, and a second rejection would not help it. Default 0.75: the rest is left
	// for prefilling its prompt.
	RetryWait float64
	// UncoordinatedWait is how long a first attempt waits for memory without a coordinator, as a share of
	// the objective. Default 0.2: without a coordinator there is no estimate whether memory will become
	// free.
	UncoordinatedWait float64
	// ReservationLifetime is how long memory stays reserved until the run starts. Default 1.5s.
	ReservationLifetime time.Duration
	// ShortestRetryAfter and LongestRetryAfter bound the Retry-After of rejected requests. Defaults 0.2s
	// and 4.5s.
	ShortestRetryAfter time.Duration
	LongestRetryAfter  time.Duration
}

const (
	defaultOutputMargin              = 0.1
	defaultUncoordinatedOutputMargin = 1.3
	defaultRetryWait                 = 0.75
	defaultUncoordinatedWait         = 0.2
	defaultReservationLifetime       = 1500 * time.Millisecond
	defaultShortestRetryAfter        = 200 * time.Millisecond
	defaultLongestRetryAfter         = 4500 * time.Millisecond
)

func (p *Policy) setDefaults() {
	p.OutputMargin = cmp.Or(p.OutputMargin, defaultOutputMargin)
	p.UncoordinatedOutputMargin = cmp.Or(p.UncoordinatedOutputMargin, defaultUncoordinatedOutputMargin)
	p.RetryWait = cmp.Or(p.RetryWait, defaultRetryWait)
	p.UncoordinatedWait = cmp.Or(p.UncoordinatedWait, defaultUncoordinatedWait)
	p.ReservationLifetime = cmp.Or(p.ReservationLifetime, defaultReservationLifetime)
	p.ShortestRetryAfter = cmp.Or(p.ShortestRetryAfter, defaultShortestRetryAfter)
	p.LongestRetryAfter = cmp.Or(p.LongestRetryAfter, defaultLongestRetryAfter)
}

// expectedOutput returns the number of tokens that a request is expected to generate.
func expectedOutput(generation Generation) int {
	expected := generation.ExpectedOutputTokens
	if expected == 0 || expected > generation.MaxOutputTokens {
		return generation.MaxOutputTokens
	}
	return expected
}

// reservedTokens returns how many tokens of memory are reserved for a request, at an engine that the
// coordinator assigned or not.
func (p *Policy) reservedTokens(generation Generation, assigned bool) int {
	margin := p.UncoordinatedOutputMargin
	if assigned {
		margin = p.OutputMargin
	}
	output := int(float64(expectedOutput(generation)) * margin)
	return generation.PromptTokens + min(output, generation.MaxOutputTokens)
}

// retryAfter returns the Retry-After of a rejected request, given when capacity is expected. Jitter spreads
// the retries of callers that are rejected together.
func (p *Policy) retryAfter(wait time.Duration) time.Duration {
	const jitter = 0.1
	after := time.Duration(float64(wait) * (1 + jitter*rand.Float64()))
	return min(max(after, p.ShortestRetryAfter), p.LongestRetryAfter)
}
