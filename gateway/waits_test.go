package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/routing"
)

// TestBrokenStreamMayWaitForEngines checks the wait for engines of a first attempt, of a request whose
// objective has passed, and of a stream that broke off after five seconds. Late requests are ordered behind
// others but may still wait: they would otherwise never be assigned an engine.
func TestBrokenStreamMayWaitForEngines(t *testing.T) {
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
	g.Expect(first.firstTokenBudget()).To(BeNumerically("~", 600*time.Millisecond, slack))
	g.Expect(first.coordinatedWait()).To(BeNumerically("~", 600*time.Millisecond, slack))

	late := after(1200*time.Millisecond, false)
	g.Expect(late.isLate()).To(BeTrue())
	g.Expect(late.firstTokenBudget()).To(Equal(route.Objective))
	g.Expect(late.coordinatedWait()).To(BeNumerically("~", 1500*time.Millisecond, slack), "before its caller disconnects")

	broken := after(5*time.Second, true)
	g.Expect(broken.isLate()).To(BeTrue())
	g.Expect(broken.firstTokenBudget()).To(Equal(route.Objective))
	g.Expect(broken.coordinatedWait()).To(BeNumerically("~", 2700*time.Millisecond, slack))
	g.Expect(broken.uncoordinatedWait()).To(Equal(route.Objective))
}

// classifyAttempts simulates attempts of one route and returns the share of first attempts and of retries
// that were classified as retries. Each third caller retries after a tenth to three tenths of its deadline.
func classifyAttempts(deadline time.Duration, variation float64, attempts int) (firstAttempts, retries float64) {
	random := rand.New(rand.NewPCG(1, 2))
	history, route := &waitHistory{}, &routing.Route{Host: "h", PathPrefix: "/a/"}
	counts, detected := [2]float64{}, [2]float64{}
	for i := range attempts {
		wait := time.Duration(float64(deadline) * (1 + variation*(2*random.Float64()-1)))
		kind := 0
		if i%4 == 3 {
			kind = 1
			wait -= time.Duration((0.1 + 0.2*random.Float64()) * float64(deadline))
		}
		counts[kind]++
		if history.observe(route, wait).age > minClientRetryAge {
			detected[kind]++
		}
	}
	return detected[0] / counts[0], detected[1] / counts[1]
}

// TestRetriesAreDetectedWithEqualDeadlines simulates callers that all wait equally long: retries are
// detected, so that first attempts go before them.
func TestRetriesAreDetectedWithEqualDeadlines(t *testing.T) {
	g := NewWithT(t)
	firstAttempts, retries := classifyAttempts(14*time.Second, 0, 400)
	g.Expect(firstAttempts).To(BeZero())
	g.Expect(retries).To(BeNumerically(">", 0.95))
}

// TestDifferentDeadlinesAreNotRetries simulates callers whose first attempts have deadlines that differ by a
// little or by much. If these were classified as retries, they would be ordered behind others, and wait until
// they are late.
func TestDifferentDeadlinesAreNotRetries(t *testing.T) {
	for _, deadline := range []time.Duration{3 * time.Second, 14 * time.Second} {
		for _, variation := range []float64{0.08, 0.15, 0.5} {
			g := NewWithT(t)
			firstAttempts, _ := classifyAttempts(deadline, variation, 400)
			g.Expect(firstAttempts).To(BeNumerically("<", 0.02), "deadline %v, variation %v", deadline, variation)
		}
	}
}

// TestUniformlyShorterDeadlinesAreNotRetries has all callers wait for a shorter time from some attempt on:
// these attempts must not count as retries because of the longer deadlines before them.
func TestUniformlyShorterDeadlinesAreNotRetries(t *testing.T) {
	g := NewWithT(t)
	history, route := &waitHistory{}, &routing.Route{Host: "h", PathPrefix: "/a/"}
	for range 100 {
		history.observe(route, 14*time.Second)
	}
	var last clientRetryEvidence
	for range 200 {
		last = history.observe(route, 7*time.Second)
	}
	g.Expect(last.age).To(BeZero())
}
