// Package estimate learns output lengths, given the lengths that callers expect, and the durations
// of prefills. It does no I/O and reads no clock.
package estimate

import "math"

const (
	// minSamples is how many outputs must have been observed before the estimate departs from what
	// callers expect.
	minSamples = 30
	// decay is the factor applied to the weight of an output with each later one.
	decay = 0.995
	// Bounds of the exponent that relates the actual output length to the expected one.
	minSlope = 0.0
	maxSlope = 1.2
)

// OutputLength fits a line to the logarithms of actual and expected lengths, with exponentially
// decaying weights. The zero value has no samples. It is not safe for concurrent use.
type OutputLength struct {
	samples int
	sums    line
	// sumYY is the weighted sum of the squares of y.
	sumYY float64
	// intercept and slope describe the fitted line, and variance is that of y around it.
	intercept, slope, variance float64
}

// Observe adds a complete output; both lengths are in tokens.
func (o *OutputLength) Observe(expected, actual int) {
	if expected <= 0 || actual <= 0 {
		return
	}
	x, y := math.Log(float64(expected)), math.Log(float64(actual))
	o.samples++
	o.sums.observe(x, y, decay)
	o.sumYY = o.sumYY*decay + y*y
	o.fit()
}

// fit computes the line from the sums.
func (o *OutputLength) fit() {
	sums := o.sums
	meanX, meanY := sums.sumX/sums.weight, sums.sumY/sums.weight
	varianceX := sums.sumXX/sums.weight - meanX*meanX
	covariance := sums.sumXY/sums.weight - meanX*meanY
	o.slope = 0
	const minVarianceX = 1e-6
	if varianceX > minVarianceX {
		o.slope = min(max(covariance/varianceX, minSlope), maxSlope)
	}
	o.intercept = meanY - o.slope*meanX
	varianceY := o.sumYY/sums.weight - meanY*meanY
	o.variance = max(0, varianceY-2*o.slope*covariance+o.slope*o.slope*varianceX)
}

// initialDeviation is the initial value of RelativeDeviation. It is large because callers'
// estimates are often far from the actual lengths.
const initialDeviation = 0.5

// RelativeDeviation returns the standard deviation of an output length, as a share of the expected
// length.
func (o *OutputLength) RelativeDeviation() float64 {
	if o.samples < minSamples {
		return initialDeviation
	}
	// Standard deviation of a log-normal distribution relative to its mean.
	return math.Sqrt(math.Expm1(o.variance))
}

// Mean returns the expected output length, given the length that the caller expects and the maximum
// length, which is zero if there is none.
func (o *OutputLength) Mean(expected, maxOutput int) int {
	if o.samples < minSamples || expected <= 0 {
		return expected
	}
	// The mean of a log-normal distribution is above its median.
	mean := math.Exp(o.intercept + o.slope*math.Log(float64(expected)) + o.variance/2)
	if maxOutput > 0 {
		mean = min(mean, float64(maxOutput))
	}
	return max(1, int(mean))
}
