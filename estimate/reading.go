package estimate

import "time"

const (
	// firstReadingPace is the first guess of how many prompt tokens an engine reads in a
	// second. The first prompt that was read replaces it.
	firstReadingPace = 50_000.0
	// originWeight is how many prompts the assumption weighs that no tokens take no time. It
	// decides where all prompts had one size.
	originWeight = 0.1
	// poolWeight is how many prompts of its own a new engine must have read until these say as
	// much of it as what all engines have read.
	poolWeight = 1.0
	// poolMemory and engineMemory are the weights that a prompt loses with each one after it:
	// about the last 100 prompts of all engines count, and about the last 7 of one engine, so
	// that an engine which turns slow is known for slow after some prompts.
	poolMemory   = 0.99
	engineMemory = 0.85
	// overrunFactor is how much longer than it was waited for a prompt that was given up
	// seems to take.
	overrunFactor = 2
)

// PrefillTime learns how long prefill engines take to read prompts: a part that each prompt
// costs, and a part for each token. It knows each engine by what it has read itself, and
// others by all. The zero value goes by a first guess. Sizes are in tokens and above zero. It is not safe for concurrent use.
type PrefillTime struct {
	pool    line
	engines map[string]*line
}

// Observe takes note of one prompt that an engine has read, and of the time that it took
// for that alone.
func (r *PrefillTime) Observe(engine string, tokens int, took time.Duration) {
	if r.engines == nil {
		r.engines = map[string]*line{}
	}
	own := r.engines[engine]
	if own == nil {
		own = r.prior()
		r.engines[engine] = own
	}
	own.observe(float64(tokens), took.Seconds(), engineMemory)
	r.pool.observe(float64(tokens), took.Seconds(), poolMemory)
}

// HasSamples reports whether a prompt has been observed.
func (r *PrefillTime) HasSamples() bool { return r.pool.weight > 0 }

// ObserveAtLeast takes note of a prompt that was given up after some time. The engine takes
// longer than that; how much is not known, and learned from the next ones.
func (r *PrefillTime) ObserveAtLeast(engine string, tokens int, waited time.Duration) {
	guess := overrunFactor * waited
	if tokens <= 0 || waited <= 0 || r.Duration(engine, tokens) >= guess {
		return
	}
	// It says nothing of other engines.
	r.engine(engine).observe(float64(tokens), guess.Seconds(), engineMemory)
}

// Duration returns how long an engine is expected to take for a prompt.
func (r *PrefillTime) Duration(engine string, tokens int) time.Duration {
	known := r.engines[engine]
	if known == nil {
		known = &r.pool
	}
	if known.weight == 0 {
		return seconds(float64(tokens) / firstReadingPace)
	}
	fixed, slope := known.fit()
	return seconds(fixed + slope*float64(tokens))
}

// engine returns what is known of one engine.
func (r *PrefillTime) engine(id string) *line {
	known := r.engines[id]
	if known != nil {
		return known
	}
	if r.engines == nil {
		r.engines = map[string]*line{}
	}
	r.engines[id] = r.prior()
	return r.engines[id]
}

// prior returns what is known of an engine that has read nothing yet: what all need, around
// the usual size of a prompt. It loses its weight as the engine reads.
func (r *PrefillTime) prior() *line {
	known := &line{}
	if r.pool.weight == 0 {
		return known
	}
	weight := poolWeight * r.pool.weight / (r.pool.weight + 1)
	usual := r.pool.sumX / r.pool.weight
	fixed, slope := r.pool.fit()
	for _, tokens := range []float64{usual / 2, 2 * usual} {
		known.add(tokens, fixed+slope*tokens, weight/2)
	}
	return known
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// line holds the weighted sums of a least-squares fit.
type line struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

// observe adds one sample; all earlier ones lose a part of their weight.
func (l *line) observe(x, y, memory float64) {
	l.weight *= memory
	l.sumX *= memory
	l.sumY *= memory
	l.sumXX *= memory
	l.sumXY *= memory
	l.add(x, y, 1)
}

// add adds a sample of some weight.
func (l *line) add(x, y, weight float64) {
	l.weight += weight
	l.sumX += weight * x
	l.sumY += weight * y
	l.sumXX += weight * x * x
	l.sumXY += weight * x * y
}

// fit returns the intercept and the slope, neither of them negative.
func (l line) fit() (intercept, slope float64) {
	weight := l.weight + originWeight
	slope = (weight*l.sumXY - l.sumX*l.sumY) / (weight*l.sumXX - l.sumX*l.sumX)
	intercept = (l.sumY - slope*l.sumX) / weight
	switch {
	case slope < 0:
		return l.sumY / l.weight, 0
	case intercept < 0:
		return 0, l.sumXY / l.sumXX
	}
	return intercept, slope
}
