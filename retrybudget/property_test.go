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

// TestNoWindowHoldsMoreThanAllowed wants every span of a window to hold at most what the platform allows for
// it, with requests and repeats close together.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(retrybudget.Options{
			Ratio: ratio, Burst: func() float64 { return burst }, Window: window, Now: func() time.Time { return now },
		})
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			budget.Request("s")
			requests = append(requests, now)
			count := rapid.IntRange(1, 2).Draw(t, "count")
			if repeat(budget, count) {
				for range count {
					repeats = append(repeats, now)
				}
			}
		}
		expectNoWindowAbove(t, requests, repeats, burst)
	})
}

// repeat sends repeats at once, if the budget has them.
func repeat(budget *retrybudget.Budget, count int) bool {
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

// TestAStartedNodeBeginsWithoutABurst: an earlier start may have spent all of it just before.
func TestAStartedNodeBeginsWithoutABurst(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: 0, Burst: func() float64 { return 10 }, Window: window, Now: func() time.Time { return now },
	})
	g.Expect(repeat(budget, 1)).To(BeFalse())
	now = now.Add(window - 1)
	g.Expect(budget.Remaining("s")).To(BeZero())
	g.Expect(repeat(budget, 1)).To(BeFalse())
	now = now.Add(1)
	g.Expect(repeat(budget, 11)).To(BeFalse())
	g.Expect(repeat(budget, 10)).To(BeTrue())
	g.Expect(repeat(budget, 1)).To(BeFalse())
}

// allowedInWindow is how the platform counts: the repeats of a window against the requests of that window, of the
// one before it or of the one half a window before it, whichever holds the most.
func allowedInWindow(requests []time.Time, from time.Time, slack float64) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, window, window / 2} {
		begins := from.Add(-earlier)
		most = max(most, within(requests, begins.Add(-1), begins.Add(window-1)))
	}
	return slack + ratio*float64(most)
}

// expectNoWindowAbove looks at all windows that begin or end at a repeat.
func expectNoWindowAbove(t interface{ Fatalf(string, ...any) }, requests, repeats []time.Time, slack float64) {
	for _, at := range repeats {
		for _, from := range []time.Time{at, at.Add(1 - window)} {
			held := within(repeats, from.Add(-1), from.Add(window-1))
			if allowed := allowedInWindow(requests, from, slack); float64(held) > allowed+1e-9 {
				t.Fatalf("%d repeats in the window from %v, %.1f allowed", held, from.Sub(time.Unix(0, 0)), allowed)
			}
		}
	}
}

// Requests came in two bursts, 10.9 s apart. The second one's repeats were measured against both, since
// eleven parts of a window were added up, while no window of ten seconds holds both: "164 repeats in the
// window from 10.9s, 105.0 allowed".
func TestOneWindowsRequestsAllowItsRepeats(t *testing.T) {
	const slack, margin, bursts = 5.0, 0.8, 500
	now := time.Unix(0, 0)
	budget := retrybudget.New(retrybudget.Options{
		Ratio: ratio * margin, Burst: func() float64 { return slack * margin }, Window: window, Now: func() time.Time { return now },
	})
	var requests, repeats []time.Time
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
		if repeat(budget, 1) {
			repeats = append(repeats, now)
		}
	}
	expectNoWindowAbove(t, requests, repeats, slack)
}

// The same for several nodes with a part of the burst each, and requests and repeats as they happen to come.
// Callers move from one node to another. Each node set its repeats against the window that ended with them,
// so that the nodes together counted requests of nearly two: "11 repeats in the window from 6.142s, 10.8 allowed".
func TestTheRepeatsOfAllNodesStayWithinEachWindow(t *testing.T) {
	const slack, nodes = 8.0, 4
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		var budgets []*retrybudget.Budget
		for range nodes {
			budgets = append(budgets, retrybudget.New(retrybudget.Options{
				Ratio: ratio, Burst: func() float64 { return slack / nodes }, Window: window, Now: func() time.Time { return now },
			}))
		}
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
			node := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				node.Request("s")
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 30).Draw(t, "repeats") {
				if repeat(node, 1) {
					repeats = append(repeats, now)
				}
			}
		}
		expectNoWindowAbove(t, requests, repeats, slack)
	})
}

// waitingGrant is a repeat that is not sent yet, or is on its way.
type waitingGrant struct {
	grant    *retrybudget.Grant
	reserved int
	onItsWay bool
}

// TestGrantsThatAreSentLater has requests wait with what they were granted, send it and have a part of it
// arrive at any moment until its end is known. No window may hold more that have arrived than it is allowed.
func TestGrantsThatAreSentLater(t *testing.T) {
	const slack, most = 6.0, 4
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		budget := retrybudget.New(retrybudget.Options{
			Ratio: ratio, Burst: func() float64 { return slack }, Window: window, Now: func() time.Time { return now },
		})
		var requests, repeats []time.Time
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
			for _, one := range waiting {
				switch {
				case rapid.Bool().Draw(t, "waits"):
					later = append(later, one)
				case one.onItsWay:
					one.grant.Arrived(one.reserved)
					one.grant.Release()
				case one.grant.MaySend(one.reserved):
					// It arrives at once, and its end is heard of later.
					for range one.reserved {
						repeats = append(repeats, now)
					}
					one.onItsWay = true
					later = append(later, one)
				default:
					one.grant.Release()
				}
			}
			waiting = later
		}
		expectNoWindowAbove(t, requests, repeats, slack)
	})
}
