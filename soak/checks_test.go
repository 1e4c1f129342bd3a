package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/platform/standin"
)

// kind is the kind of a route.
type kind string

// The kinds; each is also the path of its route.
const (
	kindNonIdempotent kind = "once"
	kindIdempotent    kind = "again"
	kindStream        kind = "stream"
	kindResumable     kind = "resume"
	// The routes of streams that last for seconds, which have longTimeout.
	kindLong          kind = "long"
	kindLongResumable kind = "longresume"
)

// isStream reports whether the responses of a route are streams.
func (k kind) isStream() bool {
	return strings.HasPrefix(string(k), "long") || k == kindStream || k == kindResumable
}

// isIdempotent reports whether a request of a route may run more than once.
func (k kind) isIdempotent() bool {
	return k == kindIdempotent || k == kindResumable || k == kindLongResumable
}

// observation is one request as its caller saw it.
type observation struct {
	id   string
	kind kind
	node int
	// tenant is the tenant of the caller's key; empty for a key that was in no configuration.
	tenant string
	// sent is set if the whole request was written. A request that was not may end without a
	// response even if it ran.
	sent bool
	// status is 0 if there was no response.
	status int
	// complete is set if the response was read to its regular end.
	complete bool
	body     string
	// events are the numbers of the complete events of a stream, and versions the software versions of their engines.
	events    []int
	versions  []string
	signature string
	requestID string
	// leaving is set if the backend announced in the response that it is leaving.
	leaving bool
	// timeout is the shorter one of the timeout of its route and of the time that its caller waits; zero stands for routeTimeout.
	timeout time.Duration
	// eventCount is the number of events of its stream; zero stands for the usual number.
	eventCount int
	// firstBytes is when its first bytes were sent, if that was before the response to the previous request was whole.
	firstBytes time.Time
	began      time.Time
	ended      time.Time
}

// disturbance is a period in which a node was killed or frozen, or connections were disturbed.
type disturbance struct {
	node     int
	from, to time.Time
	// sentBy limits it to requests that were sent until then; zero limits it to none.
	sentBy time.Time
}

// concerns reports whether a disturbance concerns requests that were sent at a time.
func (d disturbance) concerns(sent time.Time) bool { return d.sentBy.IsZero() || !sent.After(d.sentBy) }

// notRunStatuses are the statuses that guarantee that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// checkObservations returns violations of guarantees. runs is the number of runs by request. checkEnds judges how responses end.
func checkObservations(observations []observation, runs map[string]int, disturbances []disturbance) []string {
	var violations []string
	report := func(o observation, what string) {
		violations = append(violations, fmt.Sprintf("%s %s at node %d: %s (status %d, complete %t, runs %d, began %s, took %v)",
			o.kind, o.id, o.node, what, o.status, o.complete, runs[o.id], o.began.Format("15:04:05.000"), o.ended.Sub(o.began)))
	}
	for _, o := range observations {
		if !o.kind.isIdempotent() && runs[o.id] > 1 {
			report(o, "ran more than once")
		}
		if notRunStatuses[o.status] && runs[o.id] > 0 {
			report(o, "ran although its status guarantees that it did not")
		}
		if o.status == http.StatusOK {
			checkSuccess(o, report)
		}
		if o.status == http.StatusNotFound {
			report(o, "its route was not found")
		}
		if o.sent && o.status == 0 && runs[o.id] > 0 && !disturbed(o, disturbances) {
			report(o, "was forwarded and got no response")
		}
	}
	return violations
}

func checkSuccess(o observation, report func(observation, string)) {
	want := standin.Body(o.id)
	if o.kind.isStream() {
		want = standin.StreamText(o.id, cmp.Or(o.eventCount, eventCount))
	}
	switch {
	case o.requestID != o.id || o.signature == "":
		report(o, "got a success with another request's ID or without a signature")
	case len(o.versions) > 1:
		report(o, fmt.Sprintf("got events of the versions %v", o.versions))
	case !strings.HasPrefix(want, o.body):
		report(o, "got other bytes than its backend sends")
	case o.complete && o.body != want:
		report(o, "got a partial response that looks complete")
	}
}

// disturbed reports whether the node of a request was killed or frozen while the request was in
// progress.
func disturbed(o observation, disturbances []disturbance) bool {
	for _, d := range disturbances {
		if d.node == o.node && d.concerns(o.began) && d.from.Before(o.ended) && o.began.Before(d.to) {
			return true
		}
	}
	return false
}

// TestChecksDetectEachDefect injects one defect for each check.
func TestChecksDetectEachDefect(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	valid := observation{
		id: "r", kind: kindNonIdempotent, sent: true, status: 200, complete: true, body: standin.Body("r"), signature: "s", requestID: "r",
		began: at(0), ended: at(2),
	}
	cut := func(o *observation) { o.body, o.complete = o.body[:3], false }
	cutStream := func(o *observation) { o.kind, o.body, o.complete = kindResumable, standin.StreamText("r", 2), false }
	run := func(ended float64) backendRun { return backendRun{Run: standin.Run{Ended: true, EndedAt: at(ended)}} }
	wholeRun, atWork, givenUp := run(1.9), backendRun{}, run(1)
	wholeRun.Whole, givenUp.CallerDisconnected = true, true
	long := func(events int) func(*observation) {
		return func(o *observation) { o.kind, o.body, o.eventCount = kindLong, standin.StreamText("r", events), 30 }
	}
	interrupted := func(r backendRun, from, to float64) backendRun {
		r.breaks = []disturbance{{from: at(from), to: at(to)}}
		return r
	}
	cases := map[string]struct {
		change func(*observation)
		runs   []backendRun
		want   string
	}{
		"valid":                                        {func(*observation) {}, []backendRun{wholeRun}, ""},
		"run twice":                                    {func(*observation) {}, []backendRun{wholeRun, wholeRun}, "more than once"},
		"ran despite rejection":                        {func(o *observation) { o.status = 503 }, []backendRun{wholeRun}, "guarantees"},
		"rejected":                                     {func(o *observation) { o.status = 503 }, nil, ""},
		"other ID":                                     {func(o *observation) { o.requestID = "q" }, []backendRun{wholeRun}, "another request's ID or without a signature"},
		"unsigned":                                     {func(o *observation) { o.signature = "" }, []backendRun{wholeRun}, "another request's ID or without a signature"},
		"other bytes":                                  {func(o *observation) { o.body = "x" }, []backendRun{wholeRun}, "other bytes"},
		"partial":                                      {func(o *observation) { o.body = o.body[:3] }, []backendRun{wholeRun}, "looks complete"},
		"cut before its end":                           {cut, []backendRun{wholeRun}, "cut after its head"},
		"cut while at work":                            {cut, []backendRun{atWork}, "cut after its head"},
		"cut with its run":                             {cut, []backendRun{givenUp}, "cut after its head"},
		"cut after another broke off":                  {cutStream, []backendRun{run(1), atWork}, "cut after its head"},
		"cut without a run":                            {cut, nil, "cut after its head"},
		"interrupted before":                           {cut, []backendRun{interrupted(atWork, -2, -1)}, "cut after its head"},
		"broken off by backend":                        {cut, []backendRun{run(1.9)}, ""},
		"broken off after a run given up":              {cutStream, []backendRun{givenUp, run(1.9)}, ""},
		"backend interrupted":                          {cut, []backendRun{interrupted(atWork, 1, 1.5)}, ""},
		"other backend interrupted":                    {cutStream, []backendRun{interrupted(givenUp, 0.5, 0.6), atWork}, "cut after its head"},
		"other backend interrupted late":               {cutStream, []backendRun{interrupted(givenUp, 1.5, 1.6), atWork}, ""},
		"only run interrupted early":                   {cut, []backendRun{interrupted(givenUp, 0.5, 0.6)}, ""},
		"cut just before its timeout":                  {func(o *observation) { cut(o); o.ended = at(3.994) }, []backendRun{wholeRun}, "cut after its head"},
		"cut at its timeout":                           {func(o *observation) { cut(o); o.ended = at(3.996) }, []backendRun{wholeRun}, ""},
		"cut at its own timeout":                       {func(o *observation) { cut(o); o.timeout = 2 * time.Second }, []backendRun{wholeRun}, ""},
		"cut at its timeout since its first bytes":     {func(o *observation) { cut(o); o.firstBytes = at(-1.996) }, []backendRun{wholeRun}, ""},
		"cut before its timeout since its first bytes": {func(o *observation) { cut(o); o.firstBytes = at(-1.994) }, []backendRun{wholeRun}, "cut after its head"},
		"not found":                                    {func(o *observation) { o.status = 404 }, nil, "not found"},
		"no response":                                  {func(o *observation) { o.status, o.complete = 0, false }, []backendRun{wholeRun}, "no response"},
		"not forwarded":                                {func(o *observation) { o.status, o.complete = 0, false }, nil, ""},
		"partial stream":                               {func(o *observation) { o.kind, o.body = kindResumable, standin.StreamText("r", 2) }, []backendRun{wholeRun}, "looks complete"},
		"partial long stream":                          {long(12), []backendRun{wholeRun}, "looks complete"},
		"long stream":                                  {long(30), []backendRun{wholeRun}, ""},
		"long stream run twice":                        {long(30), []backendRun{wholeRun, wholeRun}, "more than once"},
		"joined streams": {func(o *observation) {
			o.kind, o.body = kindResumable, standin.EventText("r", 1)+standin.EventText("r", 1)
		}, []backendRun{wholeRun, wholeRun}, "other bytes"},
		"joined versions": {func(o *observation) {
			o.kind, o.body, o.versions = kindResumable, standin.StreamText("r", eventCount), []string{"v1", "v2"}
		}, []backendRun{wholeRun, wholeRun}, "versions"},
		"resumed": {func(o *observation) { o.kind, o.body = kindResumable, standin.StreamText("r", eventCount) }, []backendRun{wholeRun, wholeRun}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			changed := valid
			c.change(&changed)
			observations := []observation{changed}
			violations := checkObservations(observations, map[string]int{"r": len(c.runs)}, nil)
			violations = append(violations, checkEnds(observations, runRecord{"r": c.runs}, nil)...)
			if c.want == "" {
				g.Expect(violations).To(BeEmpty())
				return
			}
			g.Expect(violations).To(ContainElement(ContainSubstring(c.want)))
		})
	}
	g := NewWithT(t)
	unanswered, partial := valid, valid
	unanswered.status, unanswered.complete = 0, false
	cut(&partial)
	killed := []disturbance{{node: 0, from: at(1), to: at(3)}}
	g.Expect(checkObservations([]observation{unanswered}, map[string]int{"r": 1}, killed)).To(BeEmpty())
	g.Expect(checkEnds([]observation{partial}, runRecord{"r": {atWork}}, killed)).To(BeEmpty())
	stopped := []disturbance{{node: 0, from: at(1), to: at(3), sentBy: at(0)}}
	g.Expect(checkEnds([]observation{partial}, runRecord{"r": {atWork}}, stopped)).To(BeEmpty())
	stopped[0].sentBy = at(-0.1)
	g.Expect(checkEnds([]observation{partial}, runRecord{"r": {atWork}}, stopped)).To(HaveLen(1))
	killed[0].node = 1
	g.Expect(checkObservations([]observation{unanswered}, map[string]int{"r": 1}, killed)).To(HaveLen(1))
	g.Expect(checkEnds([]observation{partial}, runRecord{"r": {atWork}}, killed)).To(HaveLen(1))
}
