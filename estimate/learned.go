package estimate

import "math"

// Sums are the weighted sums of a least-squares fit of y by x. The zero value has no samples.
type Sums struct {
	Weight, X, Y, XX, XY float64
}

// valid reports whether the sums can be those of a fit. They may come from another node.
func (s Sums) valid() bool {
	for _, value := range []float64{s.X, s.Y, s.XX, s.XY} {
		if math.IsNaN(value) || math.IsInf(value, 0) {
			return false
		}
	}
	return s.Weight > 0 && !math.IsInf(s.Weight, 0)
}

func (l line) sums() Sums {
	return Sums{Weight: l.weight, X: l.sumX, Y: l.sumY, XX: l.sumXX, XY: l.sumXY}
}

func lineOf(s Sums) line {
	return line{weight: s.Weight, sumX: s.X, sumY: s.Y, sumXX: s.XX, sumXY: s.XY}
}

// LearnedOutput is the state of an OutputLength, to be adopted by another one.
type LearnedOutput struct {
	Samples int
	Sums    Sums
	// Squares is the weighted sum of the squares of y.
	Squares float64
}

// Learned returns what the estimator has learned.
func (o *OutputLength) Learned() LearnedOutput {
	return LearnedOutput{Samples: o.samples, Sums: o.sums.sums(), Squares: o.sumYY}
}

// Adopt takes over what another estimator has learned, unless this one has learned something
// itself.
func (o *OutputLength) Adopt(learned LearnedOutput) {
	if o.samples > 0 || learned.Samples <= 0 || !learned.Sums.valid() || !(learned.Squares >= 0) {
		return
	}
	o.samples, o.sums, o.sumYY = learned.Samples, lineOf(learned.Sums), learned.Squares
	o.fit()
}

// Learned returns what has been learned about all engines together.
func (p *PrefillTime) Learned() Sums { return p.pool.sums() }

// Adopt takes over what another estimator has learned about all engines, unless this one has
// learned something itself.
func (p *PrefillTime) Adopt(learned Sums) {
	if p.pool.weight == 0 && learned.valid() {
		p.pool = lineOf(learned)
	}
}
