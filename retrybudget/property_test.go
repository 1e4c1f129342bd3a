package retrybudget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/retrybudget"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
	burst  = 7.0
)

// TestNoWindowHoldsMoreThanAllowed checks that no window, wherever it begins, holds more retries than the platform
// allows, with requests and retries close together.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(retrybudget.Options{
			Ratio: ratio, Burst: func() float64 { return burst }, Window: window, Now: func() time.Time { return now },
		})
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			budget.Request("s")
			requests = append(requests, now)
			count := rapid.IntRange(1, 2).Draw(t, "count")
			if sendRetries(budget, count) {
				for range count {
					retries = append(retries, now)
				}
			}
		}
		expectNoWindowAbove(t, requests, retries, burst)
	})
}

// sendRetries sends retries immediately, if the budget has them.
func sendRetries(budget *retrybudget.Budget, count int) bool {
	grant := budget.Grant("s")
	defer grant.Release()
	if !grant.Reserve(count) || !grant.MaySend(count) {
		return false
	}
	grant.Arrived(count)
	return true
}

func within(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

// TestStartHasNoBurst checks that a node has no burst in the first window after its start: a previous start may
// have spent all of it just before.
func TestStartHasNoBurst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: 0, Burst: func() float64 { return 10 }, Window: window, Now: func() time.Time { return now },
	})
	g.Expect(sendRetries(budget, 1)).To(BeFalse())
	now = now.Add(window - 1)
	g.Expect(budget.Remaining("s")).To(BeZero())
	g.Expect(sendRetries(budget, 1)).To(BeFalse())
	now = now.Add(1)
	g.Expect(sendRetries(budget, 11)).To(BeFalse())
	g.Expect(sendRetries(budget, 10)).To(BeTrue())
	g.Expect(sendRetries(budget, 1)).To(BeFalse())
}

// allowedInWindow returns the limit as the platform computes it: the retries of a window count against the
// requests of that window, of the one before it or of the one half a window before it, whichever has the most.
func allowedInWindow(requests []time.Time, from time.Time, slack float64) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, window, window / 2} {
		begins := from.Add(-earlier)
		most = max(most, within(requests, begins.Add(-1), begins.Add(window-1)))
	}
	return slack + ratio*float64(most)
}

// expectNoWindowAbove checks all windows that begin or end at a retry.
func expectNoWindowAbove(t interface{ Fatalf(string, ...any) }, requests, retries []time.Time, slack float64) {
	for _, at := range retries {
		for _, from := range []time.Time{at, at.Add(1 - window)} {
			count := within(retries, from.Add(-1), from.Add(window-1))
			if allowed := allowedInWindow(requests, from, slack); float64(count) > allowed+1e-9 {
				t.Fatalf("%d retries in the window from %v, %.1f allowed", count, from.Sub(time.Unix(0, 0)), allowed)
			}
		}
	}
}

// TestRetriesCountAgainstOneWindow has requests in two bursts, 10.9 s apart. When eleven parts of a window were
// summed, the second burst's retries counted against both bursts, although no window of ten seconds holds both:
// "164 retries in the window from 10.9s, 105.0 allowed".
func TestRetriesCountAgainstOneWindow(t *testing.T) {
	const slack, margin, bursts = 5.0, 0.8, 500
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: ratio * margin, Burst: func() float64 { return slack * margin }, Window: window, Now: func() time.Time { return now },
	})
	var requests, retries []time.Time
	request := func() {
		for range bursts {
			budget.Request("s")
			requests = append(requests, now)
		}
	}
	request()
	now = now.Add(window + 9*window/100)
	request()
	for range bursts {
		if sendRetries(budget, 1) {
			retries = append(retries, now)
		}
	}
	expectNoWindowAbove(t, requests, retries, slack)
}

// TestRetriesOfAllNodesStayWithinEachWindow has several nodes with a share of the burst each, random requests
// and retries, and callers that move between nodes. When each node counted its retries against the window that
// ended with them, the nodes together counted the requests of nearly two windows: "11 retries in the window
// from 6.142s, 10.8 allowed".
func TestRetriesOfAllNodesStayWithinEachWindow(t *testing.T) {
	const slack, nodes = 8.0, 4
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var budgets []*retrybudget.Budget
		for range nodes {
			budgets = append(budgets, retrybudget.New(retrybudget.Options{
				Ratio: ratio, Burst: func() float64 { return slack / nodes }, Window: window, Now: func() time.Time { return now },
			}))
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			node := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				node.Request("s")
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "repeats") {
				if sendRetries(node, 1) {
					retries = append(retries, now)
				}
			}
		}
		expectNoWindowAbove(t, requests, retries, slack)
	})
}

// waitingGrant is a retry that is not sent yet, or is in flight.
type waitingGrant struct {
	grant    *retrybudget.Grant
	reserved int
	inFlight bool
}

// TestDelayedGrants has requests send the retries that they were granted, and these arrive, at any time before the
// end of the request. No window may hold more arrived retries than allowed.
func TestDelayedGrants(t *testing.T) {
	const slack, most = 6.0, 4
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(retrybudget.Options{
			Ratio: ratio, Burst: func() float64 { return slack }, Window: window, Now: func() time.Time { return now },
		})
		var requests, retries []time.Time
		var waiting []*waitingGrant
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				budget.Request("s")
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, most).Draw(t, "grants") {
				next := &waitingGrant{grant: budget.Grant("s"), reserved: rapid.IntRange(1, most).Draw(t, "reserved")}
				if next.grant.Reserve(next.reserved) {
					waiting = append(waiting, next)
				}
			}
			var later []*waitingGrant
			for _, pending := range waiting {
				switch {
				case rapid.Bool().Draw(t, "waits"):
					later = append(later, pending)
				case pending.inFlight:
					pending.grant.Arrived(pending.reserved)
					pending.grant.Release()
				case pending.grant.MaySend(pending.reserved):
					// It arrives immediately, and the sender learns of it later.
					for range pending.reserved {
						retries = append(retries, now)
					}
					pending.inFlight = true
					later = append(later, pending)
				default:
					pending.grant.Release()
				}
			}
			waiting = later
		}
		expectNoWindowAbove(t, requests, retries, slack)
	})
}
