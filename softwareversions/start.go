package softwareversions

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxStarts bounds the published starts, at 80 bytes each. With so many, no service is known to have a single version.
const maxStarts = 256

// Start is a start of a backend at which streams have begun although discovery described an earlier one. Its software may be of
// another version than that of the earlier start.
type Start struct {
	Service string `json:"service"`
	// Backend is the identifier that the backend keeps over its starts.
	Backend string `json:"backend"`
	// StartedAt is in Unix milliseconds.
	StartedAt int64 `json:"startedAt"`
}

// PublishedStart is a start in the record.
type PublishedStart struct {
	Start
	// UntilMillis is until when it is published, in Unix milliseconds.
	UntilMillis int64 `json:"untilMillis"`
}

// compareStarts orders starts.
func compareStarts(a, b Start) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.StartedAt, b.StartedAt))
}

// StartVersion returns the software version of a start, if discovery describes it now.
type StartVersion func(start Start) (version string, isDescribed bool)

// startTracker holds the starts that discovery did not describe, and until when they are published. That is the same time at all
// nodes: one that removes a start later than another one would have it published anew.
type startTracker map[Start]time.Time

// note records a start that is published until a time, but no longer than the retention.
func (t startTracker) note(now, until time.Time, start Start) {
	if latest := now.Add(retention); until.After(latest) {
		until = latest
	}
	if _, known := t[start]; known || len(t) >= maxStarts || !now.Before(until) {
		return
	}
	t[start] = until
}

// wanted returns the starts that the record must contain, sorted. Those that discovery describes by now, and old ones, are removed.
func (t startTracker) wanted(now time.Time, versionOf StartVersion) []PublishedStart {
	maps.DeleteFunc(t, func(start Start, until time.Time) bool {
		_, isDescribed := versionOf(start)
		return isDescribed || !now.Before(until)
	})
	var wanted []PublishedStart
	for _, start := range slices.SortedFunc(maps.Keys(t), compareStarts) {
		wanted = append(wanted, PublishedStart{Start: start, UntilMillis: t[start].UnixMilli()})
	}
	return wanted
}
