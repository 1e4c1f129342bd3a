package estimate_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/estimate"
)

// TestEstimateBeatsCallerEstimates draws output lengths and caller estimates that are wrong by a
// random factor. The mean error of the learned estimates must be a tenth smaller, and their bias
// below a tenth of the usual length.
func TestEstimateBeatsCallerEstimates(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	var output estimate.OutputLength
	var callerError, learnedError, bias float64
	const draws = 4000
	for i := range draws {
		actual := 4000 * math.Exp(0.7*random.NormFloat64())
		expected := int(actual * math.Exp(0.5*random.NormFloat64()))
		if i > draws/2 {
			mean := float64(output.Mean(expected, 0))
			callerError += math.Abs(float64(expected) - actual)
			learnedError += math.Abs(mean - actual)
			bias += mean - actual
		}
		output.Observe(expected, int(actual))
	}
	g.Expect(learnedError).To(BeNumerically("<", 0.9*callerError))
	g.Expect(math.Abs(bias) / (draws / 2)).To(BeNumerically("<", 0.1*4000))
}

func TestFewOutputsKeepCallerEstimate(t *testing.T) {
	g := NewWithT(t)
	var output estimate.OutputLength
	for range 10 {
		output.Observe(100, 1000)
	}
	g.Expect(output.Mean(100, 500)).To(Equal(100))
	for range 100 {
		output.Observe(100, 1000)
	}
	g.Expect(output.Mean(100, 5000)).To(BeNumerically("~", 1000, 10))
	g.Expect(output.Mean(100, 500)).To(Equal(500))
	g.Expect(output.Mean(0, 500)).To(Equal(0))
	output.Observe(0, 5)
	output.Observe(5, -1)
}

// TestDeviationIsLearned observes lengths that equal the expected ones, and lengths that vary
// around them. The learned deviation must be that of the lengths.
func TestDeviationIsLearned(t *testing.T) {
	g := NewWithT(t)
	var exact, varying estimate.OutputLength
	random := rand.New(rand.NewPCG(3, 4))
	g.Expect(exact.RelativeDeviation()).To(Equal(0.5), "initial estimate")
	for range 400 {
		expected := 100 + random.IntN(900)
		exact.Observe(expected, expected)
		varying.Observe(expected, max(1, int(float64(expected)*math.Exp(0.4*random.NormFloat64()))))
	}
	g.Expect(exact.RelativeDeviation()).To(BeNumerically("<", 0.01))
	// The relative deviation of a log-normal distribution with a deviation of 0.4.
	g.Expect(varying.RelativeDeviation()).To(BeNumerically("~", 0.416, 0.06))
}
