package retrybudget

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// remainingByWindow sums each window separately, with the one before it.
func remainingByWindow(a *account, burst, ratio float64) float64 {
	remaining := math.Inf(1)
	for begins := a.newest - bucketsPerWindow; begins <= a.newest; begins++ {
		requests, retries := 0, a.reserved
		for bucket := max(begins-bucketsPerWindow+1, a.newest-bucketsKept+1); bucket <= a.newest; bucket++ {
			requests += a.requests[position(bucket)]
		}
		for bucket := begins; bucket <= a.newest; bucket++ {
			retries += a.retries[position(bucket)]
		}
		remaining = min(remaining, burst+ratio*float64(requests)/2-float64(retries))
	}
	return remaining
}

// TestRemainingMatchesEachWindow compares the running sums with sums of each window.
func TestRemainingMatchesEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counting := &account{reserved: rapid.IntRange(0, 5).Draw(t, "held")}
		bucket := int64(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			bucket += rapid.Int64Range(0, 9).Draw(t, "passed")
			counting.advance(bucket)
			counting.requests[position(bucket)] += rapid.IntRange(0, 20).Draw(t, "requests")
			counting.retries[position(bucket)] += rapid.IntRange(0, 5).Draw(t, "repeats")
		}
		got, want := counting.remaining(3, 0.2), remainingByWindow(counting, 3, 0.2)
		if math.Abs(got-want) > 1e-9 {
			t.Fatalf("remaining is %v, want %v", got, want)
		}
	})
}
