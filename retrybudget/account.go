package retrybudget

import "math"

const (
	// bucketsPerWindow is the number of buckets that a window is split into.
	bucketsPerWindow = 40
	// bucketsKept is the number of buckets stored: those of a window, and of the one before it.
	bucketsKept = 2*bucketsPerWindow + 1
)

// account counts one service's requests and upstream retries in buckets, each a fraction of a window. Buckets
// are numbered from the start of the process.
type account struct {
	newest   int64
	requests [bucketsKept]int
	retries  [bucketsKept]int
	// reserved counts the retries that were granted and have not arrived at a backend.
	reserved int
	// granted and rejected count retries since the last report.
	granted, rejected int
}

// advance begins the bucket with a number, and clears those that are too old.
func (a *account) advance(bucket int64) {
	a.newest = max(a.newest, bucket-bucketsKept)
	for a.newest < bucket {
		a.newest++
		a.requests[position(a.newest)] = 0
		a.retries[position(a.newest)] = 0
	}
}

// position is a bucket's index in the ring. Negative numbers are buckets before the start, which are empty.
func position(bucket int64) int { return int((bucket%bucketsKept + bucketsKept) % bucketsKept) }

// remaining returns how many retries may be sent now, so that no window holds more than the burst and a ratio
// of its requests.
//
// A window's retries may count against its own requests or those of the window before it, whichever are more,
// and thus against half of both together. All nodes use this mean: if each node chose for itself, callers that
// move from one node to another would count at both. Requests that the window will still receive only raise the
// mean. If a window begins within a bucket, the window before it begins within the bucket that is one window
// earlier, so each includes only a part of the bucket in which it begins. All retries of the later bucket are
// counted, and no requests of the earlier one; both can only lower the result.
func (a *account) remaining(burst, ratio float64) float64 {
	remaining := math.Inf(1)
	retries, requests := a.reserved, a.requestsFrom(a.newest-bucketsPerWindow+1)
	for begins := a.newest; begins >= a.newest-bucketsPerWindow; begins-- {
		retries += a.retries[position(begins)]
		// The window is not over: all requests since it began count towards it.
		meanRequests := float64(requests) / 2 //nolint:mnd // a window and the one before it
		remaining = min(remaining, burst+ratio*meanRequests-float64(retries))
		if earlier := begins - bucketsPerWindow; earlier > a.newest-bucketsKept {
			requests += a.requests[position(earlier)]
		}
	}
	return remaining
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
