package estimate_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/estimate"
)

// TestPrefillTimeIsLearnedFromTwentyPrompts draws engines of any speed and prompts of any size, and
// expects the estimate for the median prompt to be right within a tenth after 20 prompts, at a
// known and at a new engine.
func TestPrefillTimeIsLearnedFromTwentyPrompts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		rate := rapid.Float64Range(3_000, 300_000).Draw(t, "tokens a second")
		fixed := rapid.Float64Range(0, 0.2).Draw(t, "seconds of each prompt")
		truth := func(tokens int) time.Duration {
			return time.Duration((fixed + float64(tokens)/rate) * float64(time.Second))
		}
		var prefill estimate.PrefillTime
		sizes := rapid.SliceOfN(rapid.IntRange(500, 12_000), 20, 20).Draw(t, "prompts")
		for i, tokens := range sizes {
			engine := []string{"a", "a", "b"}[i%3]
			prefill.Observe(engine, tokens, truth(tokens))
		}
		median := slices.Sorted(slices.Values(sizes))[len(sizes)/2]
		want := truth(median).Seconds()
		for _, engine := range []string{"a", "new"} {
			g.Expect(prefill.Duration(engine, median).Seconds()).To(BeNumerically("~", want, want/10), engine)
		}
	})
}

// TestSlowEngineIsLearnedAndRecovers has one of three engines become slow and recover. Its estimate
// must follow, and those of the others must not.
func TestSlowEngineIsLearnedAndRecovers(t *testing.T) {
	g := NewWithT(t)
	const usual = 100 * time.Millisecond
	var estimator estimate.PrefillTime
	prefill := func(engine string, took time.Duration, times int) {
		for range times {
			estimator.Observe(engine, 3000, took)
		}
	}
	for range 10 {
		prefill("a", usual, 1)
		prefill("b", usual, 1)
		prefill("c", usual, 1)
	}
	prefill("c", 5*usual, 12)
	g.Expect(estimator.Duration("c", 3000)).To(BeNumerically(">", 4*usual))
	g.Expect(estimator.Duration("a", 3000)).To(BeNumerically("<", usual*3/2))
	prefill("c", usual, 14)
	g.Expect(estimator.Duration("c", 3000)).To(BeNumerically("<", usual*3/2))
}
