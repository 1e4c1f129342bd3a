package retrybudget

import "math"

const (
	// partsPerWindow is into how many parts a window is split.
	partsPerWindow = 40
	// partsKept is how many parts are remembered: a window, and the one before it.
	partsKept = 2*partsPerWindow + 1
)

// account counts one service's requests and repeats in parts of a window. Parts are numbered from the start
// of the process.
type account struct {
	newest   int64
	requests [partsKept]int
	repeats  [partsKept]int
	// held are the repeats that were granted and have not arrived.
	held int
	// granted and refused count repeats since the last report.
	granted, refused int
}

// advance begins the part with a number, and forgets those that are too old.
func (a *account) advance(part int64) {
	a.newest = max(a.newest, part-partsKept)
	for a.newest < part {
		a.newest++
		a.requests[position(a.newest)] = 0
		a.repeats[position(a.newest)] = 0
	}
}

// position is where a part is kept. Numbers below zero are those of parts before the start, which are empty.
func position(part int64) int { return int((part%partsKept + partsKept) % partsKept) }

// left returns how many repeats may be sent now, so that no window holds more than the burst and a ratio of
// its requests.
//
// A window's repeats may be set against its own requests or those of the window before it, whichever are more,
// and thus against half of both together. All nodes take this mean: had each node its own choice, callers that
// move from one node to another would count at both. Requests of the window that are still to come only add
// to it. A window that begins within a part has some of the parts at its ends, whose repeats count whole and
// whose requests do not count.
func (a *account) left(burst, ratio float64) float64 {
	left := math.Inf(1)
	repeats := a.held
	for begins := a.newest; begins >= a.newest-partsPerWindow; begins-- {
		repeats += a.repeats[position(begins)]
		left = min(left, burst+ratio*a.meanRequests(begins)-float64(repeats))
	}
	return left
}

// meanRequests returns the mean of the requests of a window that begins in a part, and of the one before it,
// as far as they are known.
func (a *account) meanRequests(begins int64) float64 {
	const reach = partsPerWindow - 1
	requests := 0
	for part := max(begins-reach, a.newest-partsKept+1); part <= min(begins+reach, a.newest); part++ {
		requests += a.requests[position(part)]
	}
	return float64(requests) / 2 //nolint:mnd // two windows
}

// sumOfWindow adds up the parts of the last window.
func (a *account) sumOfWindow(parts *[partsKept]int) int {
	total := 0
	for part := a.newest - partsPerWindow + 1; part <= a.newest; part++ {
		total += parts[position(part)]
	}
	return total
}
