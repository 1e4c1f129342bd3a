package retrybudget

import "math"

const (
	// bucketsPerWindow is into how many buckets a window is split.
	bucketsPerWindow = 40
	// bucketsKept is how many buckets are remembered: those of a window, and of the one before it.
	bucketsKept = 2*bucketsPerWindow + 1
)

// account counts one service's requests and repeats in buckets of a window. Buckets are numbered from the start
// of the process.
type account struct {
	newest   int64
	requests [bucketsKept]int
	repeats  [bucketsKept]int
	// held are the repeats that were granted and have not arrived.
	held int
	// granted and refused count repeats since the last report.
	granted, refused int
}

// advance begins the bucket with a number, and forgets those that are too old.
func (a *account) advance(bucket int64) {
	a.newest = max(a.newest, bucket-bucketsKept)
	for a.newest < bucket {
		a.newest++
		a.requests[position(a.newest)] = 0
		a.repeats[position(a.newest)] = 0
	}
}

// position is where a bucket is kept. Numbers below zero are those of buckets before the start, which are empty.
func position(bucket int64) int { return int((bucket%bucketsKept + bucketsKept) % bucketsKept) }

// left returns how many repeats may be sent now, so that no window holds more than the burst and a ratio of
// its requests.
//
// A window's repeats may be set against its own requests or those of the window before it, whichever are more,
// and thus against half of both together. All nodes take this mean: had each node its own choice, callers that
// move from one node to another would count at both. Requests of the window that are still to come only add
// to it. A window that begins within a bucket has a piece of that and of the one a window earlier: the repeats
// of the first count whole, and the requests of the second not at all.
func (a *account) left(burst, ratio float64) float64 {
	left := math.Inf(1)
	repeats, requests := a.held, a.requestsFrom(a.newest-bucketsPerWindow+1)
	for begins := a.newest; begins >= a.newest-bucketsPerWindow; begins-- {
		repeats += a.repeats[position(begins)]
		// The window is not over: all requests since it began are its own.
		meanRequests := float64(requests) / 2 //nolint:mnd // a window and the one before it
		left = min(left, burst+ratio*meanRequests-float64(repeats))
		if earlier := begins - bucketsPerWindow; earlier > a.newest-bucketsKept {
			requests += a.requests[position(earlier)]
		}
	}
	return left
}

// requestsFrom adds up the requests since a bucket.
func (a *account) requestsFrom(first int64) int {
	total := 0
	for bucket := first; bucket <= a.newest; bucket++ {
		total += a.requests[position(bucket)]
	}
	return total
}

// sumOfWindow adds up the buckets of the last window.
func (a *account) sumOfWindow(counts *[bucketsKept]int) int {
	total := 0
	for bucket := a.newest - bucketsPerWindow + 1; bucket <= a.newest; bucket++ {
		total += counts[position(bucket)]
	}
	return total
}
