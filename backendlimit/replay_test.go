package backendlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	replayStep = 10 * time.Millisecond
	// detectionTime is how long nodes take to detect that others are unresponsive, or are responsive again.
	detectionTime = time.Second
	// toleranceWindow, toleratedFactor and toleratedUnits are the bound that backends hold the nodes to: in a window,
	// this multiple of the limit and this number of requests.
	toleranceWindow = 4 * time.Second
	toleratedFactor = 1.5
	toleratedUnits  = 5
)

// replay simulates the calls of all nodes to one backend, without I/O.
type replay struct {
	random       *rand.Rand
	limit        float64
	nodes        int
	coordinators []*Coordinator
	// reachable counts the nodes that reach each coordinator, and detected is what the coordinators know of it, from
	// detectedAt on.
	reachable, detected []int
	detectedAt          time.Duration
	// units is the cost of each call.
	units float64
	local []*LocalLimiter
	// coordinatorOf is the coordinator that each node calls; negative for none.
	coordinatorOf []int
	// deniedUntil is when each node asks again.
	deniedUntil []time.Duration
	now         time.Duration
	granted     []time.Duration
	wanted      int
}

func newReplay(seed uint64, nodes, coordinators int, limit float64) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 3)), nodes: nodes, limit: limit,
		reachable: make([]int, coordinators), detected: make([]int, coordinators), units: 1, deniedUntil: make([]time.Duration, nodes), coordinatorOf: make([]int, nodes),
	}
	for index := range coordinators {
		r.coordinators = append(r.coordinators, NewCoordinator(func() Nodes { return Nodes{All: nodes, Responsive: r.detected[index]} }))
	}
	for range nodes {
		r.local = append(r.local, NewLocalLimiter(func() Nodes { return Nodes{All: nodes} }, r.random.Float64))
	}
	return r
}

// assign sets the coordinator of each node.
func (r *replay) assign(coordinatorOf func(node int) int) {
	copy(r.detected, r.reachable)
	r.detectedAt = r.now + detectionTime
	clear(r.reachable)
	for node := range r.coordinatorOf {
		r.coordinatorOf[node] = coordinatorOf(node)
		if r.coordinatorOf[node] >= 0 {
			r.reachable[r.coordinatorOf[node]]++
		}
	}
}

// run simulates requests at a rate per second over all nodes; busyShare of them arrive at one node.
func (r *replay) run(duration time.Duration, rate, busyShare float64) {
	for until := r.now + duration; r.now < until; r.now += replayStep {
		if r.now >= r.detectedAt {
			copy(r.detected, r.reachable)
		}
		for remaining := rate*replayStep.Seconds() - r.random.ExpFloat64(); remaining > 0; remaining -= r.random.ExpFloat64() {
			node := r.random.IntN(r.nodes)
			if r.random.Float64() < busyShare {
				node = 0
			}
			r.wanted++
			r.call(node)
		}
	}
}

// call has a node ask for one call, unless it was denied one a moment ago.
func (r *replay) call(node int) {
	if r.now < r.deniedUntil[node] {
		return
	}
	charge := Charge{Backend: "b", Rate: r.limit, Units: r.units}
	var grant Grant
	if to := r.coordinatorOf[node]; to >= 0 {
		grant = r.coordinators[to].Decide(r.now, charge)
		r.local[node].Reset(r.now, charge.Backend)
	} else {
		grant = r.local[node].Decide(r.now, charge)
	}
	if grant.Granted {
		for range int(r.units) {
			r.granted = append(r.granted, r.now)
		}
		return
	}
	r.deniedUntil[node] = r.now + grant.RetryAfter
}

// worstWindow returns the greatest number of calls in a window.
func (r *replay) worstWindow() int {
	worst, first := 0, 0
	for last, at := range r.granted {
		for at-r.granted[first] >= toleranceWindow {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// tolerated returns the number of calls that a backend tolerates in a window.
func (r *replay) tolerated() float64 {
	return toleratedFactor*r.limit*toleranceWindow.Seconds() + toleratedUnits
}

// TestFleetUsesOneLimit compares equal shares of a limit with a coordinator, for even and uneven traffic below and
// above the limit.
func TestFleetUsesOneLimit(t *testing.T) {
	const limit, duration = 3.0, 60 * time.Second
	for _, nodes := range []int{7, 60, 410, 986} {
		for _, load := range []float64{0.8, 4} {
			for _, busyShare := range []float64{0, 0.5} {
				used := map[bool]float64{}
				for _, coordinated := range []bool{false, true} {
					g := NewWithT(t)
					simulated := newReplay(1, nodes, 1, limit)
					simulated.assign(func(int) int {
						if coordinated {
							return 0
						}
						return -1
					})
					simulated.run(duration, load*limit, busyShare)
					used[coordinated] = float64(len(simulated.granted)) / (limit * duration.Seconds())
					g.Expect(float64(simulated.worstWindow())).To(BeNumerically("<=", simulated.tolerated()), "%d nodes, coordinated %v", nodes, coordinated)
				}
				t.Logf("nodes %3d, load %.1f of the limit, %.1f of it at one node: used %.2f with equal shares, %.2f with a coordinator",
					nodes, load, busyShare, used[false], used[true])
				NewWithT(t).Expect(used[true]).To(BeNumerically(">", 0.85*grantedShare*min(1, load)))
			}
		}
	}
}

// TestLimitHoldsWhenCoordinatorsChange loses, replaces and separates coordinators at random while the nodes press.
func TestLimitHoldsWhenCoordinatorsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{2, 7, 60, 410}).Draw(t, "nodes")
		limit := rapid.SampledFrom([]float64{0.5, 2.3, 10, 50}).Draw(t, "limit")
		simulated := newReplay(rapid.Uint64().Draw(t, "seed"), nodes, 3, limit)
		simulated.units = rapid.SampledFrom([]float64{1, 2}).Draw(t, "units")
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			cut := rapid.IntRange(0, nodes).Draw(t, "cut")
			first, second := rapid.IntRange(-1, 2).Draw(t, "first"), rapid.IntRange(-1, 2).Draw(t, "second")
			simulated.assign(func(node int) int {
				if node < cut {
					return second
				}
				return first
			})
			duration := time.Duration(rapid.IntRange(500, 6000).Draw(t, "lasting")) * time.Millisecond
			simulated.run(duration, limit*rapid.Float64Range(0, 10).Draw(t, "load"), 0)
		}
		NewWithT(t).Expect(float64(simulated.worstWindow())).To(BeNumerically("<=", simulated.tolerated()))
	})
}

// TestUnconditionalCallsDelayLaterOnes charges calls that are made without a grant.
func TestUnconditionalCallsDelayLaterOnes(t *testing.T) {
	g := NewWithT(t)
	coordinator := NewCoordinator(func() Nodes { return Nodes{All: 1, Responsive: 1} })
	charge := Charge{Backend: "b", Rate: 2 / grantedShare, Units: 1}
	unconditional := charge
	unconditional.Unconditional = true
	g.Expect(coordinator.Decide(0, charge)).To(Equal(Grant{RetryAfter: 500 * time.Millisecond}), "a bucket starts empty")
	g.Expect(coordinator.Decide(0, unconditional).Granted).To(BeTrue())
	g.Expect(coordinator.Decide(0, charge)).To(Equal(Grant{RetryAfter: time.Second}))
	g.Expect(coordinator.Decide(time.Second, charge).Granted).To(BeTrue())
}

// TestLimitOfNothingIsProbed checks that a backend which accepts nothing is called now and then: only its responses
// show that it accepts requests again.
func TestLimitOfNothingIsProbed(t *testing.T) {
	g := NewWithT(t)
	coordinator := NewCoordinator(func() Nodes { return Nodes{All: 1, Responsive: 1} })
	charge := Charge{Backend: "b", Rate: 0, Units: 1}
	g.Expect(coordinator.Decide(0, charge)).To(Equal(Grant{RetryAfter: maxWait}))
	g.Expect(coordinator.Decide(10*time.Second, charge).Granted).To(BeTrue())
}

// BenchmarkDecide measures the coordinator's work per charge while 8,650 backends of 986 nodes limit their requests.
func BenchmarkDecide(b *testing.B) {
	const backends, nodes = 8650, 986
	names := make([]string, backends)
	for i := range names {
		names[i] = "i-" + time.Duration(i).String()
	}
	coordinator := NewCoordinator(func() Nodes { return Nodes{All: nodes, Responsive: nodes} })
	now, i := time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		i++
		coordinator.Decide(now, Charge{Backend: names[i%backends], Rate: 3, Units: 1})
	}
}
