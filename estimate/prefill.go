package estimate

import "time"

const (
	// initialPrefillRate is the initial estimate of the prompt tokens that an engine prefills per
	// second. The first observed prefill replaces it.
	initialPrefillRate = 50_000.0
	// originWeight is the weight, in prompts, of the assumption that a prompt without tokens takes
	// no time. This assumption determines the fit if all prompts have the same size.
	originWeight = 0.1
	// priorWeight is the weight, in prompts, of the pooled estimate for a new engine: after this
	// number of prefills, the engine's own prefills count as much as those of all engines.
	priorWeight = 1.0
	// poolDecay and engineDecay are the factors applied to the weight of a prompt with each later
	// one: about the last 100 prompts of all engines count, and about the last 7 of one engine, so
	// that an engine that becomes slow is recognized after a few prompts.
	poolDecay   = 0.99
	engineDecay = 0.85
	// timeoutFactor is the assumed duration of a prefill that timed out, as a multiple of the time
	// waited.
	timeoutFactor = 2
)

// PrefillTime estimates the duration of prefills as a fixed part per prompt and a part per token.
// An engine's estimate comes from its own prefills, and for an engine without any from those of all
// engines. The zero value uses an initial estimate. Sizes are in tokens and above zero. It is not
// safe for concurrent use.
type PrefillTime struct {
	pool    line
	engines map[string]*line
}

// Observe adds one prefill of an engine and the time that it took without queueing.
func (p *PrefillTime) Observe(engine string, tokens int, took time.Duration) {
	if p.engines == nil {
		p.engines = map[string]*line{}
	}
	own := p.engines[engine]
	if own == nil {
		own = p.prior()
		p.engines[engine] = own
	}
	own.observe(float64(tokens), took.Seconds(), engineDecay)
	p.pool.observe(float64(tokens), took.Seconds(), poolDecay)
}

// HasSamples reports whether a prefill has been observed.
func (p *PrefillTime) HasSamples() bool { return p.pool.weight > 0 }

// ObserveAtLeast adds a prefill that was abandoned after the given time. The engine takes longer
// than that time; how much longer is learned from later prefills.
func (p *PrefillTime) ObserveAtLeast(engine string, tokens int, waited time.Duration) {
	assumed := timeoutFactor * waited
	if tokens <= 0 || waited <= 0 || p.Duration(engine, tokens) >= assumed {
		return
	}
	// The sample does not affect the estimate for other engines.
	p.engine(engine).observe(float64(tokens), assumed.Seconds(), engineDecay)
}

// Duration returns the expected time of a prefill on an engine.
func (p *PrefillTime) Duration(engine string, tokens int) time.Duration {
	samples := p.engines[engine]
	if samples == nil {
		samples = &p.pool
	}
	if samples.weight == 0 {
		return seconds(float64(tokens) / initialPrefillRate)
	}
	fixed, slope := samples.fit()
	return seconds(fixed + slope*float64(tokens))
}

// engine returns the line of one engine, creating it if needed.
func (p *PrefillTime) engine(id string) *line {
	known := p.engines[id]
	if known != nil {
		return known
	}
	if p.engines == nil {
		p.engines = map[string]*line{}
	}
	p.engines[id] = p.prior()
	return p.engines[id]
}

// prior returns the initial line of an engine: the pooled line, sampled at half and at twice the
// mean prompt size. Its weight decays as the engine's own prefills are observed.
func (p *PrefillTime) prior() *line {
	initial := &line{}
	if p.pool.weight == 0 {
		return initial
	}
	weight := priorWeight * p.pool.weight / (p.pool.weight + 1)
	mean := p.pool.sumX / p.pool.weight
	fixed, slope := p.pool.fit()
	for _, tokens := range []float64{mean / 2, 2 * mean} {
		initial.add(tokens, fixed+slope*tokens, weight/2)
	}
	return initial
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// line holds the weighted sums of a least-squares fit.
type line struct {
	weight, sumX, sumY, sumXX, sumXY float64
}

// observe adds one sample; the weights of all earlier ones decay.
func (l *line) observe(x, y, decay float64) {
	l.weight *= decay
	l.sumX *= decay
	l.sumY *= decay
	l.sumXX *= decay
	l.sumXY *= decay
	l.add(x, y, 1)
}

// add adds a weighted sample.
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
