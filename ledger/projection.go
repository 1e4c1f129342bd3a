package ledger

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// projected is a run as it will go on: its size now, and how long until it ends.
type projected struct {
	size float64
	left float64
}

// peakWith returns the greatest memory that an engine will need with one more
// run, as a share of what may be given, and whether that is enough.
func (l *Ledger) peakWith(now time.Duration, engine Engine, run Run) (float64, bool) {
	active := l.active[:0]
	for _, current := range l.byEngine[engine.ID] {
		active = append(active, current)
	}
	l.active = active
	return l.peakOf(now, engine, run, active)
}

// peakOf is peakWith for given runs of the engine.
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
	foreign := l.foreignTokens(now, engine.ID)
	needed := l.peak(runs) + l.margin(run, active)
	peak := (needed/l.coverage + foreign) / (float64(engine.Memory) * l.options.UsableShare)
	// A run that no engine could ever hold is let in where nothing else is.
	return peak, peak <= 1 || len(runs) == 1 && foreign == 0
}

// margin returns the memory that is kept free because runs may become longer than expected.
// They do so independently, so that their deviations add up by squares.
func (l *Ledger) margin(run Run, active []Run) float64 {
	squares := float64(run.Output) * float64(run.Output)
	for _, current := range active {
		squares += float64(current.Output) * float64(current.Output)
	}
	return l.options.Deviations * l.spread * math.Sqrt(squares)
}

// project returns how a run will go on.
func (l *Ledger) project(now time.Duration, run Run) projected {
	left := l.remaining(now, run).Seconds()
	made := l.made(now, run)
	return projected{size: float64(run.Prompt) + made, left: left}
}

// made returns how many tokens a run has made.
func (l *Ledger) made(now time.Duration, run Run) float64 {
	since := (now - run.Started - l.start).Seconds()
	return min(max(0, since*l.pace), float64(run.Output)*(1+l.options.Overrun))
}

// remaining returns how long a run is expected to go on.
func (l *Ledger) remaining(now time.Duration, run Run) time.Duration {
	expected := float64(run.Output) - l.made(now, run)
	tokens := max(expected, float64(run.Output)*l.options.Overrun)
	if now < run.Started+l.start {
		tokens += (run.Started + l.start - now).Seconds() * l.pace
	}
	return time.Duration(tokens / l.pace * float64(time.Second))
}

// peak returns the greatest total size of runs that all grow at the learned pace
// until they end.
func (l *Ledger) peak(runs []projected) float64 {
	slices.SortFunc(runs, func(a, b projected) int { return cmp.Compare(a.left, b.left) })
	total := 0.0
	for _, run := range runs {
		total += run.size
	}
	greatest := total
	for i, run := range runs {
		// Right before this run ends, it and all later ones have grown so far.
		alive := float64(len(runs) - i)
		greatest = max(greatest, total+alive*run.left*l.pace)
		total -= run.size
	}
	return greatest
}
