package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// upstreamRetrySmoothing is the time constant of the upstream retry rate. It is longer than queues take to
	// fill or to empty, because a change of their length looks like retries.
	upstreamRetrySmoothing = 3 * time.Second
	// maxRunsPerRequest bounds how much less is admitted because of upstream retries.
	maxRunsPerRequest = 2.0
)

// totals sums the reports of all nodes on a service, in requests a second.
type totals struct {
	firstAttempts, retries, admitted float64
	objective                        time.Duration
	backends                         map[string]*backendTotals
}

// backendTotals holds the totals of one backend.
type backendTotals struct {
	// answered, failed and rejected are requests a second.
	answered, failed, rejected float64
	// busy is the mean number of requests in flight there, and pending the current number.
	busy, pending float64
}

// totals adds up the last reports of all nodes. The counts of each report are divided by the
// report's own interval.
func (s *serviceState) totals(now time.Duration) totals {
	sum := totals{backends: map[string]*backendTotals{}}
	// A fixed order, because a floating-point sum depends on it.
	for _, holder := range slices.Sorted(maps.Keys(s.reports)) {
		received := s.reports[holder]
		if now-received.at > reportLifetime {
			delete(s.reports, holder)
			continue
		}
		seconds := max(received.report.Interval, busyInterval/2).Seconds()
		sum.firstAttempts += float64(received.report.FirstAttempts) / seconds
		sum.retries += float64(received.report.Retries) / seconds
		sum.admitted += float64(received.report.Admitted) / seconds
		if objective := received.report.Objective; objective > 0 && (sum.objective == 0 || objective < sum.objective) {
			sum.objective = objective
		}
		for _, counts := range received.report.Backends {
			sum.add(counts, seconds)
		}
	}
	return sum
}

// runs returns how many runs a second end at all backends; each upstream retry is a run.
func (t *totals) runs() float64 {
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(t.backends)) {
		sum += t.backends[id].ended()
	}
	return sum
}

// upstreamRetries measures how often admitted requests are sent, smoothed because requests admitted now end
// later. The zero value has no data.
type upstreamRetries struct {
	runs, admitted float64
}

// observe adds the totals of a time span.
func (r *upstreamRetries) observe(sum *totals, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/upstreamRetrySmoothing.Seconds())
	r.runs += weight * (sum.runs() - r.runs)
	r.admitted += weight * (sum.admitted - r.admitted)
}

// perRequest returns the runs per request: more than one if runs fail and are retried.
func (r *upstreamRetries) perRequest() float64 {
	if r.admitted == 0 {
		return 1
	}
	return min(maxRunsPerRequest, max(1, r.runs/r.admitted))
}

// add adds a node's counts of a backend.
func (t *totals) add(counts BackendCounts, seconds float64) {
	backend := t.backends[counts.ID]
	if backend == nil {
		backend = &backendTotals{}
		t.backends[counts.ID] = backend
	}
	backend.answered += float64(counts.Answered) / seconds
	backend.failed += float64(counts.Failed) / seconds
	backend.rejected += float64(counts.Rejected) / seconds
	backend.busy += counts.Busy.Seconds() / seconds
	backend.pending += float64(counts.Pending)
}

// load returns the number of requests at a backend: the mean number, or the current one if that is higher and
// fills its slots.
func (t backendTotals) load(slots float64) float64 {
	if t.pending >= slots {
		return max(t.pending, t.busy)
	}
	return t.busy
}

// ended returns how many requests a second end at the backend, answered or not.
func (t backendTotals) ended() float64 { return t.answered + t.failed }
