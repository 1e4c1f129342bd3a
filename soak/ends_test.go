package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/reelrun/reelrun/platform/standin"
)

// backendRun is a run at a backend, with the times in which the connections of this backend were held, closed or stalled.
// A backend that restarts or crashes closes its connections.
type backendRun struct {
	standin.Run
	breaks []disturbance
}

const (
	// arrivalError is how long before bytes were sent the operating system may date their arrival: it counts in ticks of 4 ms.
	arrivalError = 5 * time.Millisecond
	// takeoverTime is the time within which a node notices a break of a connection, and endSlack the time from the end of a run to
	// the end of its response if one causes the other.
	takeoverTime = time.Second
	endSlack     = 100 * time.Millisecond
)

// runRecord holds the runs by request, without prefills.
type runRecord map[string][]backendRun

// responseEnd is how a response ended.
type responseEnd string

// The ends of responses. Each one that is not whole has the first of the causes that applies.
const (
	endWhole         responseEnd = "whole"
	endNone          responseEnd = "no success"
	endAtDisturbance responseEnd = "cut at a disturbed node"
	endAtTimeout     responseEnd = "cut at its timeout"
	endAtFirstBytes  responseEnd = "cut at its timeout since its first bytes"
	endByBackend     responseEnd = "cut by its backend"
	endCutByNode     responseEnd = "cut by its node"
)

// endOf returns how a response with status 200 ended. A response that is not whole was cut by its node, unless the node was
// killed or frozen meanwhile or was at the end of the grace period of a planned stop that began at most sentAfterStop before the
// request, the request had reached its timeout, or the
// backend broke the response off. What counts is the last run: one that a node has ended is no break of its backend, and neither
// is a break before another backend took over. The time of a request begins with its first bytes, also if its caller sent them while
// the response to the previous request was in progress; such responses have an end of their own.
func endOf(o observation, runs []backendRun, disturbances []disturbance) responseEnd {
	switch {
	case o.status != http.StatusOK:
		return endNone
	case o.complete:
		return endWhole
	case disturbed(o, disturbances):
		return endAtDisturbance
	case o.took() >= o.timeoutOrDefault()-arrivalError:
		return endAtTimeout
	case !o.firstBytes.IsZero() && o.ended.Sub(o.firstBytes) >= o.timeoutOrDefault()-arrivalError:
		return endAtFirstBytes
	case brokenOffByBackend(o, runs):
		return endByBackend
	default:
		return endCutByNode
	}
}

// timeoutOrDefault returns the time within which the response must be complete.
func (o observation) timeoutOrDefault() time.Duration { return cmp.Or(o.timeout, routeTimeout) }

// brokenOffByBackend reports whether the last run of a request ended by itself before the end of its output, or the connections
// of one of its backends were broken while the request was in progress: the node may then have lost any of its runs. An earlier
// break than takeoverTime before the end counts only if no other run was in progress then, at a backend without a break.
func brokenOffByBackend(o observation, runs []backendRun) bool {
	if len(runs) == 0 {
		return false
	}
	recent := o
	if slices.ContainsFunc(runs, func(run backendRun) bool { return run.wasSoundAtEnd(o) }) {
		recent.began = o.ended.Add(-takeoverTime)
	}
	for _, run := range runs {
		if interruptedDuring(o, run.breaks) && interruptedDuring(recent, run.breaks) {
			return true
		}
	}
	last := slices.MaxFunc(runs, func(a, b backendRun) int { return a.endedOrNow().Compare(b.endedOrNow()) })
	return last.brokeOff()
}

// brokeOff reports whether a run ended by itself before the end of its output.
func (r backendRun) brokeOff() bool { return r.Ended && !r.Whole && !r.CallerDisconnected }

// wasSoundAtEnd reports whether a run was in progress when the response ended, at a backend whose connections were not broken
// during the request.
func (r backendRun) wasSoundAtEnd(o observation) bool {
	return !r.brokeOff() && !interruptedDuring(o, r.breaks) && r.endedOrNow().After(o.ended.Add(-endSlack))
}

// endedOrNow returns the end of a run; a run in progress counts as ending now.
func (r backendRun) endedOrNow() time.Time {
	if !r.Ended {
		return time.Now()
	}
	return r.EndedAt
}

// describeRuns describes the runs of a request, for a report.
func describeRuns(runs []backendRun) string {
	var text strings.Builder
	for _, run := range runs {
		fmt.Fprintf(&text, "[run that ended %t at %s, whole %t, ended by its caller %t]",
			run.Ended, run.EndedAt.Format("15:04:05.000"), run.Whole, run.CallerDisconnected)
	}
	return text.String()
}

// countEnds counts the responses by their ends.
func countEnds(observations []observation, runs runRecord, disturbances []disturbance) map[responseEnd]int {
	counts := map[responseEnd]int{}
	for _, o := range observations {
		counts[endOf(o, runs[o.id], disturbances)]++
	}
	return counts
}

// checkEnds returns the responses that were cut by their nodes.
func checkEnds(observations []observation, runs runRecord, disturbances []disturbance) []string {
	var violations []string
	for _, o := range observations {
		if endOf(o, runs[o.id], disturbances) == endCutByNode {
			violations = append(violations, fmt.Sprintf("%s %s at node %d was cut after its head by its node (first bytes %s, began %s, took %v, %d bytes, runs %s)",
				o.kind, o.id, o.node, o.firstBytes.Format("15:04:05.000"), o.began.Format("15:04:05.000"), o.took(), len(o.body), describeRuns(runs[o.id])))
		}
	}
	return violations
}

// runRecord returns the runs at all backends, including removed ones.
func (h *harness) runRecord() runRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	record := runRecord{}
	for _, b := range h.backends {
		breaks := b.proxy.breaks()
		for _, run := range b.runs() {
			record[run.ID] = append(record[run.ID], backendRun{run, breaks})
		}
	}
	return record
}

// ofThisBuild returns the observations at nodes that ran no older build meanwhile. An older build may cut responses.
func (h *harness) ofThisBuild(observations []observation) []observation {
	return slices.DeleteFunc(observations, func(o observation) bool { return ranOlderBuild(o, h.starts) })
}

// allowingCuts returns the times in which nodes may cut requests: while they were killed or frozen, and at the end of
// the grace period of a planned stop.
func (h *harness) allowingCuts() []disturbance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append(slices.Clone(h.disturbances), h.lateStops...)
}
