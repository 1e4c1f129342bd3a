package estimate_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/estimate"
)

// TestAdoptedModelsGiveTheSameEstimates passes learned state to new estimators, which must then
// give the same estimates. An estimator that has learned something itself must keep its own state,
// and sums that no fit can have must be ignored.
func TestAdoptedModelsGiveTheSameEstimates(t *testing.T) {
	g := NewWithT(t)
	var output, next estimate.OutputLength
	var prefill, nextPrefill estimate.PrefillTime
	for i := range 100 {
		output.Observe(100+i, 300+2*i)
		prefill.Observe("e", 1000+10*i, time.Duration(50+i)*time.Millisecond)
	}
	next.Adopt(output.Learned())
	g.Expect(next.Mean(150, 0)).To(Equal(output.Mean(150, 0)))
	g.Expect(next.RelativeDeviation()).To(Equal(output.RelativeDeviation()))
	nextPrefill.Adopt(prefill.Learned())
	g.Expect(nextPrefill.Duration("new", 1500)).To(Equal(prefill.Duration("new", 1500)))

	next.Adopt(estimate.LearnedOutput{Samples: 1000, Sums: estimate.Sums{Weight: 1, X: 1, Y: 9, XX: 1, XY: 9}})
	g.Expect(next.Mean(150, 0)).To(Equal(output.Mean(150, 0)))
	var untrained estimate.OutputLength
	untrained.Adopt(estimate.LearnedOutput{Samples: 100, Sums: estimate.Sums{Weight: 1, X: math.NaN()}})
	g.Expect(untrained.Mean(150, 0)).To(Equal(150))
}
