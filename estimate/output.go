// Package estimate learns how long answers really become, given what their callers
// expect. It is pure: no I/O and no clock.
package estimate

import "math"

const (
	// leastSamples is how many answers must have been seen before the estimate
	// departs from what callers expect.
	leastSamples = 30
	// memory is the weight that an answer loses with each one after it.
	memory = 0.995
	// Bounds of the exponent by which an answer grows with what was expected.
	leastSlope    = 0.0
	greatestSlope = 1.2
)

// OutputLength relates the logarithms of real and expected lengths by a line, with older
// answers counting less. The zero value knows nothing. It is not safe for
// concurrent use.
type OutputLength struct {
	samples                    int
	sums                       line
	sumYY                      float64
	intercept, slope, variance float64
}

// Observe takes note of one whole answer, in tokens.
func (o *OutputLength) Observe(expected, actual int) {
	if expected <= 0 || actual <= 0 {
		return
	}
	x, y := math.Log(float64(expected)), math.Log(float64(actual))
	o.samples++
	o.sums.observe(x, y, memory)
	o.sumYY = o.sumYY*memory + y*y
	o.fit()
}

// fit computes the line from the sums.
func (o *OutputLength) fit() {
	sums := o.sums
	meanX, meanY := sums.sumX/sums.weight, sums.sumY/sums.weight
	spreadX := sums.sumXX/sums.weight - meanX*meanX
	covariance := sums.sumXY/sums.weight - meanX*meanY
	o.slope = 0
	const flat = 1e-6
	if spreadX > flat {
		o.slope = min(max(covariance/spreadX, leastSlope), greatestSlope)
	}
	o.intercept = meanY - o.slope*meanX
	spreadY := o.sumYY/sums.weight - meanY*meanY
	o.variance = max(0, spreadY-2*o.slope*covariance+o.slope*o.slope*spreadX)
}

// firstSpread is the first guess of Spread: callers' estimates are often far off.
const firstSpread = 0.5

// RelativeDeviation returns the standard deviation of the length of an answer, as a share of what is
// expected of it.
func (o *OutputLength) RelativeDeviation() float64 {
	if o.samples < leastSamples {
		return firstSpread
	}
	// That of a logarithmic normal distribution around its mean.
	return math.Sqrt(math.Expm1(o.variance))
}

// Mean returns the length to be expected of an answer, given what its caller
// expects and the most that it may become.
func (o *OutputLength) Mean(expected, most int) int {
	if o.samples < leastSamples || expected <= 0 {
		return expected
	}
	// The mean of a logarithmic normal distribution lies above its median.
	mean := math.Exp(o.intercept + o.slope*math.Log(float64(expected)) + o.variance/2)
	if most > 0 {
		mean = min(mean, float64(most))
	}
	return max(1, int(mean))
}
