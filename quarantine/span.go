package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// clockTolerance is how much earlier than the end of a run the next one may have begun and still count as later: the times come from
// several nodes, and each adds the delay of its report.
const clockTolerance = 25 * time.Millisecond

// span is when a request was at a backend.
type span struct{ began, ended time.Duration }

// successive returns the largest number of runs of which each began after the end of the one before.
//
// A request that crashes what runs it does so run after run. Backends that crash by themselves at one moment break off runs that
// were side by side: however many these are, they are one piece of evidence.
func successive(runs []span) int {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b span) int { return cmp.Compare(a.ended, b.ended) })
	count, lastEnd := 0, time.Duration(0)
	for _, run := range runs {
		if count == 0 || run.began >= lastEnd-clockTolerance {
			count, lastEnd = count+1, run.ended
		}
	}
	return count
}
