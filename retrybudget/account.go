package retrybudget

import "math"

const (
	// partsPerWindow is into how many parts a window is split.
	partsPerWindow = 40
	// partsKept is how many parts are remembered: a window, and half a window before it.
	partsKept = partsPerWindow + partsPerWindow/2 + 1
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
// A window's repeats may be set against the requests of the window that begins half a window earlier. Of the
// windows that the platform names for this it is the only one that each node can look at when it decides, and
// that bounds the sum over all nodes: had each node its own choice, callers that move from one node to
// another would count at both. A window that begins within a part has some of the parts at its ends, whose
// repeats count whole and whose requests do not count.
func (a *account) left(burst, ratio float64) float64 {
	left := math.Inf(1)
	repeats := a.held
	for begins := a.newest; begins >= a.newest-partsPerWindow; begins-- {
		repeats += a.repeats[position(begins)]
		left = min(left, burst+ratio*float64(a.requestsAround(begins))-float64(repeats))
	}
	return left
}

// requestsAround returns the requests that lie within half a window of each moment of a part.
func (a *account) requestsAround(part int64) int {
	const half = partsPerWindow/2 - 1
	requests := 0
	for near := max(part-half, a.newest-partsKept+1); near <= min(part+half, a.newest); near++ {
		requests += a.requests[position(near)]
	}
	return requests
}

// sumOfWindow adds up the parts of the last window.
func (a *account) sumOfWindow(parts *[partsKept]int) int {
	total := 0
	for part := a.newest - partsPerWindow + 1; part <= a.newest; part++ {
		total += parts[position(part)]
	}
	return total
}
