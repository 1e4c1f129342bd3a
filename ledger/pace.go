package ledger

import (
	"math"
	"time"
)

// AnswerTiming is a whole answer, as far as it teaches the pace. The zero value teaches nothing.
type AnswerTiming struct {
	// FirstEvent is how long it took from the assignment to the first event, and Duration to the
	// last one.
	FirstEvent, Duration time.Duration
	// RestTokens is how many tokens came after the first event.
	RestTokens int
}

// learn takes over the pace and the start of an answer. The pace is that of all tokens in all
// the time, newer answers counting more: an answer whose events were held up on the way comes
// at once, and its own pace says nothing.
func (l *Ledger) learn(answer AnswerTiming) {
	l.answers++
	l.tokens = (1-paceWeight)*l.tokens + float64(answer.RestTokens)
	l.seconds = (1-paceWeight)*l.seconds + (answer.Duration - answer.FirstEvent).Seconds()
	l.pace = l.tokens / l.seconds
	// The first answers count alike, so that the first guess is soon forgotten.
	weight := max(paceWeight, 1/float64(l.answers))
	l.start += time.Duration(weight * float64(answer.FirstEvent-l.start))
}

// LearnedRate is what a ledger has learned of how fast answers come.
type LearnedRate struct {
	// Answers is how many have taught it, Tokens and Seconds are what these took together.
	Answers         int
	Tokens, Seconds float64
	// FirstTokenDelay is the time from an assignment to the first token.
	FirstTokenDelay time.Duration
}

// Learned returns what the ledger has learned.
func (l *Ledger) Learned() LearnedRate {
	return LearnedRate{Answers: l.answers, Tokens: l.tokens, Seconds: l.seconds, FirstTokenDelay: l.start}
}

// Adopt takes over what another ledger has learned, if this one has learned nothing.
func (l *Ledger) Adopt(learned LearnedRate) {
	pace := learned.Tokens / learned.Seconds
	if l.answers > 0 || learned.Answers <= 0 || !(pace > 0) || math.IsInf(pace, 0) || learned.FirstTokenDelay < 0 {
		return
	}
	l.answers, l.tokens, l.seconds, l.start = learned.Answers, learned.Tokens, learned.Seconds, learned.FirstTokenDelay
	l.pace = pace
}

// SetOutputDeviation states the standard deviation of the lengths of answers, as a share of what is
// expected of each.
func (l *Ledger) SetOutputDeviation(share float64) { l.spread = share }

// DecodeRate returns how many tokens a run is expected to make in a second.
func (l *Ledger) DecodeRate() float64 { return l.pace }

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

// Occupancy returns the share of an engine's memory that a run takes on average, times how
// long in seconds. Where no engine is known it is zero.
func (l *Ledger) Occupancy(run Run) float64 {
	memory := 0.0
	for _, engine := range l.engines {
		memory = max(memory, float64(engine.Memory)*l.options.UsableShare)
	}
	if memory == 0 {
		return 0
	}
	lasting := l.start.Seconds() + float64(run.Output)/l.pace
	return (float64(run.Prompt) + float64(run.Output)/2) / memory * lasting
}
