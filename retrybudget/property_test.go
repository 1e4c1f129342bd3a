package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/retrybudget"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
	burst  = 7.0
)

// TestNoWindowHoldsMoreThanAllowed wants every span of a window to hold at most
// the burst and the share of the requests of that span and the one before it.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(retrybudget.Options{
			Ratio: ratio, Burst: func() float64 { return burst }, Window: window, Now: func() time.Time { return now },
		})
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			budget.Request("s")
			requests = append(requests, now)
			count := rapid.IntRange(1, 2).Draw(t, "count")
			if budget.TryRepeat("s", count) {
				for range count {
					repeats = append(repeats, now)
				}
			}
			inWindow := within(repeats, now.Add(-window), now)
			asked := within(requests, now.Add(-window-window/5), now)
			if float64(inWindow) > burst+ratio*float64(asked)+1e-9 {
				t.Fatalf("%d repeats for %d requests", inWindow, asked)
			}
		}
	})
}

func within(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// TestAStartedNodeBeginsWithoutABurst: what it spent before is not known.
func TestAStartedNodeBeginsWithoutABurst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: 0, Burst: func() float64 { return 10 }, Window: window, Now: func() time.Time { return now },
	})
	g.Expect(budget.TryRepeat("s", 1)).To(BeFalse())
	now = now.Add(window / 2)
	g.Expect(budget.Left("s")).To(Equal(5.0))
	g.Expect(budget.TryRepeat("s", 6)).To(BeFalse())
	g.Expect(budget.TryRepeat("s", 5)).To(BeTrue())
	g.Expect(budget.TryRepeat("s", 1)).To(BeFalse())
}
