package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// projected is the predicted course of a run: its size now in tokens, and the seconds until it
// ends.
type projected struct {
	size      float64
	remaining float64
}

// peakWith returns the highest memory use predicted for an engine with one more run, as a share of
// the usable memory, and whether the run fits.
func (l *Ledger) peakWith(now time.Duration, engine Engine, run Run) (float64, bool) {
	active := l.active[:0]
	for _, current := range l.byEngine[engine.ID] {
		active = append(active, current)
	}
	l.active = active
	return l.peakOf(now, engine, run, active)
}

// peakOf is peakWith for an engine with the given active runs.
func (l *Ledger) peakOf(now time.Duration, engine Engine, run Run, active []Run) (float64, bool) {
	run.Started = now
	runs := l.projected[:0]
	runs = append(runs, l.project(now, run))
	for _, current := range active {
		runs = append(runs, l.project(now, current))
	}
	l.projected = runs
	if len(runs) > engine.Slots && engine.Slots > 0 {
		return 1, false
	}
	external := l.externalTokens(now, engine.ID)
	needed := l.peak(runs) + l.margin(run, active)
	peak := (needed/l.coverage + external) / (float64(engine.Memory) * l.options.UsableShare)
	// An empty engine admits any run, because otherwise a run larger than every engine would never
	// be assigned.
	return peak, peak <= 1 || len(runs) == 1 && external == 0
}

// margin returns the memory that is kept free because outputs may be longer than expected. Their
// lengths are independent, so the variances add up.
func (l *Ledger) margin(run Run, active []Run) float64 {
	squares := float64(run.Output) * float64(run.Output)
	for _, current := range active {
		squares += float64(current.Output) * float64(current.Output)
	}
	return l.options.Deviations * l.outputDeviation * math.Sqrt(squares)
}

// project predicts the course of a run.
func (l *Ledger) project(now time.Duration, run Run) projected {
	remaining := l.remaining(now, run).Seconds()
	generated := l.generated(now, run)
	return projected{size: float64(run.Prompt) + generated, remaining: remaining}
}

// generated returns the estimated number of tokens that a run has generated.
func (l *Ledger) generated(now time.Duration, run Run) float64 {
	decoding := (now - run.Started - l.firstTokenDelay).Seconds()
	return min(max(0, decoding*l.decodeRate), float64(run.Output)*(1+l.options.Overrun))
}

// remaining returns the expected time until a run ends.
func (l *Ledger) remaining(now time.Duration, run Run) time.Duration {
	left := float64(run.Output) - l.generated(now, run)
	tokens := max(left, float64(run.Output)*l.options.Overrun)
	if now < run.Started+l.firstTokenDelay {
		tokens += (run.Started + l.firstTokenDelay - now).Seconds() * l.decodeRate
	}
	return time.Duration(tokens / l.decodeRate * float64(time.Second))
}

// peak returns the highest total size of runs that all grow at the learned decode rate until they
// end.
func (l *Ledger) peak(runs []projected) float64 {
	slices.SortFunc(runs, func(a, b projected) int { return cmp.Compare(a.remaining, b.remaining) })
	total := 0.0
	for _, run := range runs {
		total += run.size
	}
	highest := total
	for i, run := range runs {
		// Right before this run ends, it and all later ones have grown for the same time.
		active := float64(len(runs) - i)
		highest = max(highest, total+active*run.remaining*l.decodeRate)
		total -= run.size
	}
	return highest
}
