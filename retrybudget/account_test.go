package retrybudget

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// leftByWindow adds up each window by itself, and the one before it.
func leftByWindow(a *account, burst, ratio float64) float64 {
	left := math.Inf(1)
	for begins := a.newest - bucketsPerWindow; begins <= a.newest; begins++ {
		requests, repeats := 0, a.held
		for bucket := max(begins-bucketsPerWindow+1, a.newest-bucketsKept+1); bucket <= a.newest; bucket++ {
			requests += a.requests[position(bucket)]
		}
		for bucket := begins; bucket <= a.newest; bucket++ {
			repeats += a.repeats[position(bucket)]
		}
		left = min(left, burst+ratio*float64(requests)/2-float64(repeats))
	}
	return left
}

// TestWhatIsLeftIsThatOfEachWindow compares the running sums with sums of each window.
func TestWhatIsLeftIsThatOfEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counting := &account{held: rapid.IntRange(0, 5).Draw(t, "held")}
		bucket := int64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			bucket += rapid.Int64Range(0, 9).Draw(t, "passed")
			counting.advance(bucket)
			counting.requests[position(bucket)] += rapid.IntRange(0, 20).Draw(t, "requests")
			counting.repeats[position(bucket)] += rapid.IntRange(0, 5).Draw(t, "repeats")
		}
		got, wanted := counting.left(3, 0.2), leftByWindow(counting, 3, 0.2)
		if math.Abs(got-wanted) > 1e-9 {
			t.Fatalf("%v left in place of %v", got, wanted)
		}
	})
}
