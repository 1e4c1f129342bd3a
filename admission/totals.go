package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// repeatSmoothing is the time constant of how often requests are sent again: longer than
	// queues take to fill or to empty, which look like repeats.
	repeatSmoothing = 3 * time.Second
	// maxSendsPerRequest bounds how much less is admitted because requests are sent again.
	maxSendsPerRequest = 2.0
)

// totals is what all nodes together see of a service, in requests a second.
type totals struct {
	firstTries, retries, admitted float64
	objective                     time.Duration
	backends                      map[string]*backendTotals
}

// backendTotals is the part of one back end.
type backendTotals struct {
	answered, failed, rejected float64
	// busy is how many requests it had on average, and pending how many it has now.
	busy, pending float64
}

// totals adds up the last reports of all nodes. Each gives rates over its own interval.
func (s *serviceState) totals(now time.Duration) totals {
	sum := totals{backends: map[string]*backendTotals{}}
	// In a fixed order, because a sum of fractions depends on it.
	for _, holder := range slices.Sorted(maps.Keys(s.reports)) {
		held := s.reports[holder]
		if now-held.at > reportLifetime {
			delete(s.reports, holder)
			continue
		}
		seconds := max(held.report.Interval, busyInterval/2).Seconds()
		sum.firstTries += float64(held.report.FirstAttempts) / seconds
		sum.retries += float64(held.report.Retries) / seconds
		sum.admitted += float64(held.report.Admitted) / seconds
		if objective := held.report.Objective; objective > 0 && (sum.objective == 0 || objective < sum.objective) {
			sum.objective = objective
		}
		for _, counts := range held.report.Backends {
			sum.add(counts, seconds)
		}
	}
	return sum
}

// runs returns how many requests a second end at all back ends, each as often as it was sent.
func (t *totals) runs() float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(t.backends)) {
		sum += t.backends[id].ended()
	}
	return sum
}

// repeats is how often requests are sent that are admitted, smoothed: those that are admitted
// now end later. The zero value has seen none.
type repeats struct {
	runs, admitted float64
}

// observe takes in what was seen over a time.
func (r *repeats) observe(sum *totals, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/repeatSmoothing.Seconds())
	r.runs += weight * (sum.runs() - r.runs)
	r.admitted += weight * (sum.admitted - r.admitted)
}

// perRequest returns how many runs a request takes: more than one where runs fail and are
// repeated.
func (r *repeats) perRequest() float64 {
	if r.admitted == 0 {
		return 1
	}
	return min(maxSendsPerRequest, max(1, r.runs/r.admitted))
}

// add takes in what one node saw of a back end.
func (t *totals) add(counts BackendCounts, seconds float64) {
	known := t.backends[counts.ID]
	if known == nil {
		known = &backendTotals{}
		t.backends[counts.ID] = known
	}
	known.answered += float64(counts.Answered) / seconds
	known.failed += float64(counts.Failed) / seconds
	known.rejected += float64(counts.Rejected) / seconds
	known.busy += counts.Busy.Seconds() / seconds
	known.pending += float64(counts.Pending)
}

// load returns how many requests a back end has: on average, or now where that is above its
// slots.
func (t backendTotals) load(slots float64) float64 {
	if t.pending >= slots {
		return max(t.pending, t.busy)
	}
	return t.busy
}

// ended returns how many requests a second end there, answered or not.
func (t backendTotals) ended() float64 { return t.answered + t.failed }
