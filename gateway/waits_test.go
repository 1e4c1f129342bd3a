package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/routing"
)

// TestABrokenStreamMayWaitForEnginesAgain asks in what time engines are wanted for a first attempt,
// for one whose objective has passed, and for a stream that broke off after five seconds. Late
// ones yield to others, but have time: they would otherwise never be given an engine.
func TestABrokenStreamMayWaitForEnginesAgain(t *testing.T) {
	g := NewWithT(t)
	handler := &Handler{}
	handler.options.Policy.setDefaults()
	route := &routing.Route{Objective: 900 * time.Millisecond, CallerEventTimeout: 3600 * time.Millisecond}
	after := func(elapsed time.Duration, answered bool) *exchange {
		now := time.Now()
		return &exchange{handler: handler, route: route, arrived: now.Add(-elapsed), deadline: now.Add(10 * time.Second), answered: answered}
	}
	slack := 100 * time.Millisecond

	first := after(300*time.Millisecond, false)
	g.Expect(first.isLate()).To(BeFalse())
	g.Expect(first.within()).To(BeNumerically("~", 600*time.Millisecond, slack))
	g.Expect(first.coordinatedWait()).To(BeNumerically("~", 600*time.Millisecond, slack))

	late := after(1200*time.Millisecond, false)
	g.Expect(late.isLate()).To(BeTrue())
	g.Expect(late.within()).To(Equal(route.Objective))
	g.Expect(late.coordinatedWait()).To(BeNumerically("~", 1500*time.Millisecond, slack), "before its caller leaves")

	broken := after(5*time.Second, true)
	g.Expect(broken.isLate()).To(BeTrue())
	g.Expect(broken.within()).To(Equal(route.Objective))
	g.Expect(broken.coordinatedWait()).To(BeNumerically("~", 2700*time.Millisecond, slack))
	g.Expect(broken.aloneWait()).To(Equal(route.Objective))
}

// judged plays tries of one route and returns the share of first tries and of retries that were
// taken for retries. Each third caller comes back after a tenth to three tenths of its deadline.
func judged(deadline time.Duration, spread float64, tries int) (firstTries, retries float64) {
	random := rand.New(rand.NewPCG(1, 2))
	history, route := &waitHistory{}, &routing.Route{Host: "h", PathPrefix: "/a/"}
	counts, taken := [2]float64{}, [2]float64{}
	for i := range tries {
		wait := time.Duration(float64(deadline) * (1 + spread*(2*random.Float64()-1)))
		kind := 0
		if i%4 == 3 {
			kind = 1
			wait -= time.Duration((0.1 + 0.2*random.Float64()) * float64(deadline))
		}
		counts[kind]++
		if history.observe(route, wait).age > retryAge {
			taken[kind]++
		}
	}
	return taken[0] / counts[0], taken[1] / counts[1]
}

// TestRetriesAreToldWhereDeadlinesAreAlike replays callers that all wait equally long: retries are
// known, so that first tries go before them.
func TestRetriesAreToldWhereDeadlinesAreAlike(t *testing.T) {
	g := NewWithT(t)
	firstTries, retries := judged(14*time.Second, 0, 400)
	g.Expect(firstTries).To(BeZero())
	g.Expect(retries).To(BeNumerically(">", 0.95))
}

// TestDeadlinesThatDifferTellNoRetry replays callers whose deadlines differ by themselves, by a
// little and by much. Taken for retries they are put behind, and wait until they are late.
func TestDeadlinesThatDifferTellNoRetry(t *testing.T) {
	for _, deadline := range []time.Duration{3 * time.Second, 14 * time.Second} {
		for _, spread := range []float64{0.08, 0.15, 0.5} {
			g := NewWithT(t)
			firstTries, _ := judged(deadline, spread, 400)
			g.Expect(firstTries).To(BeNumerically("<", 0.02), "deadline %v, spread %v", deadline, spread)
		}
	}
}

// TestShorterDeadlinesThanEverAreNoRetries has all callers wait for less from a moment on.
func TestShorterDeadlinesThanEverAreNoRetries(t *testing.T) {
	g := NewWithT(t)
	history, route := &waitHistory{}, &routing.Route{Host: "h", PathPrefix: "/a/"}
	for range 100 {
		history.observe(route, 14*time.Second)
	}
	var last retryEvidence
	for range 200 {
		last = history.observe(route, 7*time.Second)
	}
	g.Expect(last.age).To(BeZero())
}
