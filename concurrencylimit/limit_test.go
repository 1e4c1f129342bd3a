package concurrencylimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/concurrencylimit"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ now time.Time }

func newFakeClock() *fakeClock { return &fakeClock{time.Unix(1000, 0)} }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) advance(duration time.Duration) { c.now = c.now.Add(duration) }

// queue is a delay that shows a queue.
var queue = concurrencylimit.Delays{Processor: 100 * time.Millisecond}

// firstRequests is the number of requests in progress at the first queue.
const firstRequests = 100

// newLimited returns a limit that has seen a queue, without requests in progress.
func newLimited(clock *fakeClock) *concurrencylimit.Limit {
	limit := concurrencylimit.NewLimit(clock.Now)
	for range firstRequests {
		limit.Admit()
	}
	limit.Adjust(queue)
	for range firstRequests {
		limit.Release()
	}
	return limit
}

// TestHealthyNodeServesABurst guards against requests that are turned away although nothing delays them.
func TestHealthyNodeServesABurst(t *testing.T) {
	g := NewWithT(t)
	limit := concurrencylimit.NewLimit(newFakeClock().Now)
	for range 1000 {
		g.Expect(limit.Full()).To(BeFalse())
		g.Expect(limit.AdmitNew()).To(BeTrue())
		limit.Adjust(concurrencylimit.Delays{Processor: 10 * time.Millisecond})
	}
	most, _ := limit.State()
	g.Expect(most).To(BeZero())
}

func TestFirstQueueLimitsRequests(t *testing.T) {
	g := NewWithT(t)
	most, inProgress := newLimited(newFakeClock()).State()
	g.Expect(most).To(BeNumerically("~", firstRequests/3, firstRequests/10))
	g.Expect(inProgress).To(BeZero())
}

// TestLimitEndsSomeTimeAfterTheLastQueue guards against a healthy node that turns requests away because it was delayed long ago.
func TestLimitEndsSomeTimeAfterTheLastQueue(t *testing.T) {
	g := NewWithT(t)
	clock := newFakeClock()
	limit := newLimited(clock)
	clock.advance(20 * time.Second)
	g.Expect(fill(limit)).To(BeNumerically("<", firstRequests))
	clock.advance(11 * time.Second)
	for range firstRequests {
		g.Expect(limit.AdmitNew()).To(BeTrue())
	}
	most, _ := limit.State()
	g.Expect(most).To(BeZero())
}

// fill admits requests until none is admitted any more, and returns how many were.
func fill(limit *concurrencylimit.Limit) int {
	admitted := 0
	for limit.Admit() {
		admitted++
	}
	return admitted
}

func TestLimitShrinksWhileThereIsAQueue(t *testing.T) {
	for name, delays := range map[string]concurrencylimit.Delays{
		"processor": {Processor: 30 * time.Millisecond}, "callers": {Callers: 30 * time.Millisecond}, "nodes": {Nodes: 30 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			limit := newLimited(newFakeClock())
			before := fill(limit)
			limit.Adjust(delays)
			after, _ := limit.State()
			g.Expect(after).To(BeNumerically("<", before))
			g.Expect(limit.Admit()).To(BeFalse())
		})
	}
}

// TestLimitWaitsForTheEffectOfItsDecrease has requests in progress that end long after the limit has shrunk.
func TestLimitWaitsForTheEffectOfItsDecrease(t *testing.T) {
	g := NewWithT(t)
	limit := newLimited(newFakeClock())
	fill(limit)
	limit.Adjust(queue)
	once, _ := limit.State()
	for range 5 {
		limit.Adjust(queue)
	}
	repeated, _ := limit.State()
	g.Expect(repeated).To(Equal(once))
}

func TestLimitGrowsOnlyWhileItBinds(t *testing.T) {
	g := NewWithT(t)
	limit := newLimited(newFakeClock())
	first, _ := limit.State()
	limit.Adjust(concurrencylimit.Delays{})
	unbound, _ := limit.State()
	g.Expect(unbound).To(Equal(first))
	fill(limit)
	for range 2 {
		limit.Adjust(concurrencylimit.Delays{})
		fill(limit)
	}
	grown, _ := limit.State()
	g.Expect(grown).To(BeNumerically(">", first))
}

func TestLimitKeepsAMinimum(t *testing.T) {
	g := NewWithT(t)
	limit := newLimited(newFakeClock())
	for range 20 {
		admitted := fill(limit)
		limit.Adjust(queue)
		for range admitted {
			limit.Release()
		}
	}
	g.Expect(fill(limit)).To(BeNumerically(">=", 4))
}

// TestSaturatedNodeDoesNotVanish has all places taken by requests that do not end.
func TestSaturatedNodeDoesNotVanish(t *testing.T) {
	g := NewWithT(t)
	clock := newFakeClock()
	limit := newLimited(clock)
	g.Expect(limit.AdmitNew()).To(BeTrue())
	fill(limit)
	g.Expect(limit.AdmitNew()).To(BeFalse())
	for range 5 {
		clock.advance(time.Second)
		g.Expect(limit.Full()).To(BeFalse())
		g.Expect(limit.AdmitNew()).To(BeTrue())
		g.Expect(limit.AdmitNew()).To(BeFalse())
	}
}

// TestOpenConnectionsComeBeforeNewOnes guards against requests that arrive in vain: those on open connections have arrived already.
func TestOpenConnectionsComeBeforeNewOnes(t *testing.T) {
	g := NewWithT(t)
	limit := newLimited(newFakeClock())
	for range 10 {
		fill(limit)
		limit.Adjust(concurrencylimit.Delays{})
	}
	_, inProgress := limit.State()
	for range inProgress {
		limit.Release()
	}
	limit.TakeTurnedAway()
	accepted := 0
	for !limit.Full() {
		g.Expect(limit.AdmitNew()).To(BeTrue())
		accepted++
	}
	g.Expect(limit.Admit()).To(BeTrue())
	limit.Release()
	limit.Release()
	g.Expect(limit.Full()).To(BeTrue(), "new connections are not accepted for each request that ends")
	for range accepted / 4 {
		limit.Release()
	}
	g.Expect(limit.Full()).To(BeFalse())
	away := limit.TakeTurnedAway()
	g.Expect(away.Connections).To(BeZero())
	g.Expect(away.Requests).To(BeZero())
}

func TestTurnedAwayRequestsAreCounted(t *testing.T) {
	g := NewWithT(t)
	clock := newFakeClock()
	limit := newLimited(clock)
	g.Expect(limit.AdmitNew()).To(BeTrue())
	fill(limit) // The last one is not admitted.
	g.Expect(limit.AdmitNew()).To(BeFalse())
	clock.advance(100 * time.Millisecond)
	g.Expect(limit.Full()).To(BeTrue())
	g.Expect(limit.TakeTurnedAway()).To(Equal(concurrencylimit.TurnedAway{Connections: 1, Requests: 1, Refusing: 100 * time.Millisecond}))
	g.Expect(limit.TakeTurnedAway().Any()).To(BeFalse())
}

// TestRequestsInProgressStayWithinTheLimit draws what happens to a limit: an open connection's request is admitted just below the
// limit, and a new connection's above it only at the interval at which one always is.
func TestRequestsInProgressStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newFakeClock()
		limit := newLimited(clock)
		inProgress := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			most, counted := limit.State()
			if counted != inProgress {
				t.Fatalf("%d requests in progress, counted %d", inProgress, counted)
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				admitted := limit.Admit()
				if admitted != (most == 0 || inProgress < most) {
					t.Fatalf("%d in progress of %d, admitted: %t", inProgress, most, admitted)
				}
				if admitted {
					inProgress++
				}
			case 1:
				if limit.AdmitNew() {
					inProgress++
				}
			case 2:
				if inProgress > 0 {
					limit.Release()
					inProgress--
				}
			case 3:
				clock.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			case 4:
				delay := time.Duration(rapid.IntRange(0, 100).Draw(t, "delay")) * time.Millisecond
				limit.Adjust(concurrencylimit.Delays{Processor: delay})
				if now, _ := limit.State(); now != 0 && now < 4 {
					t.Fatalf("limit of %d", now)
				}
			}
		}
	})
}
