package ledger

import (
	"math"
	"time"
)

// OutputTiming is the timing of a complete output, from which the decode rate is learned. The ledger
// ignores the zero value.
type OutputTiming struct {
	// FirstEvent is the time from the assignment to the first event, and Duration the time to the
	// last one.
	FirstEvent, Duration time.Duration
	// RestTokens is the number of tokens after the first event.
	RestTokens int
}

// learn updates the decode rate and the first-token delay from an output. The rate is the total of
// all tokens divided by the total time, weighted towards newer outputs: the rate of a single output
// is meaningless if its events were buffered on the way and arrive at once.
func (l *Ledger) learn(output OutputTiming) {
	l.samples++
	l.tokens = (1-rateWeight)*l.tokens + float64(output.RestTokens)
	l.seconds = (1-rateWeight)*l.seconds + (output.Duration - output.FirstEvent).Seconds()
	l.decodeRate = l.tokens / l.seconds
	// The first outputs have equal weight, so that the initial estimate is soon replaced.
	weight := max(rateWeight, 1/float64(l.samples))
	l.firstTokenDelay += time.Duration(weight * float64(output.FirstEvent-l.firstTokenDelay))
}

// LearnedRate is what a ledger has learned about the speed of runs.
type LearnedRate struct {
	// Samples is the number of outputs that it was learned from; Tokens and Seconds are the weighted
	// totals of these outputs.
	Samples         int
	Tokens, Seconds float64
	// FirstTokenDelay is the time from an assignment to the first token.
	FirstTokenDelay time.Duration
}

// Learned returns what the ledger has learned.
func (l *Ledger) Learned() LearnedRate {
	return LearnedRate{Samples: l.samples, Tokens: l.tokens, Seconds: l.seconds, FirstTokenDelay: l.firstTokenDelay}
}

// Adopt takes over what another ledger has learned, unless this one has learned something itself.
func (l *Ledger) Adopt(learned LearnedRate) {
	rate := learned.Tokens / learned.Seconds
	if l.samples > 0 || learned.Samples <= 0 || !(rate > 0) || math.IsInf(rate, 0) || learned.FirstTokenDelay < 0 {
		return
	}
	l.samples, l.tokens, l.seconds, l.firstTokenDelay = learned.Samples, learned.Tokens, learned.Seconds, learned.FirstTokenDelay
	l.decodeRate = rate
}

// SetOutputDeviation sets the standard deviation of output lengths, as a share of the expected
// length.
func (l *Ledger) SetOutputDeviation(share float64) { l.outputDeviation = share }

// DecodeRate returns the expected number of tokens per second of one run.
func (l *Ledger) DecodeRate() float64 { return l.decodeRate }

// MemoryShare returns the share of the memory of all engines that runs use now.
func (l *Ledger) MemoryShare(now time.Duration) float64 {
	used, memory := 0.0, 0.0
	for _, engine := range l.engines {
		memory += float64(engine.Memory)
		for _, run := range l.byEngine[engine.ID] {
			used += l.project(now, run).size
		}
	}
	if memory == 0 {
		return 0
	}
	return used / memory
}

// Occupancy returns the mean share of an engine's memory that a run uses, multiplied by its
// duration in seconds. It is zero if there are no engines.
func (l *Ledger) Occupancy(run Run) float64 {
	memory := 0.0
	for _, engine := range l.engines {
		memory = max(memory, float64(engine.Memory)*l.options.UsableShare)
	}
	if memory == 0 {
		return 0
	}
	duration := l.firstTokenDelay.Seconds() + float64(run.Output)/l.decodeRate
	return (float64(run.Prompt) + float64(run.Output)/2) / memory * duration
}
