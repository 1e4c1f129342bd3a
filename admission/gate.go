package admission

import (
	"sync"
	"time"
)

const (
	// planLifetime is how long a plan counts: a coordinator that is lost is replaced in about
	// that time.
	planLifetime = 2500 * time.Millisecond
	// awayFullness and homeFullness bound the choice between zones: below the one requests stay
	// in their zone, above the other all zones are alike. Bytes between zones cost, and a wait
	// in a queue costs more.
	homeFullness = 0.5
	awayFullness = 1.0
	// retryAfterSpread is by how much, as a share, callers that are refused together come back
	// at different times.
	retryAfterSpread = 0.5
	// fullFactor is what is left of the weight of a back end that has just rejected a request.
	fullFactor = 0.05
)

// Random returns numbers from 0 up to 1.
type Random func() float64

// Decision is whether a request is admitted, and by what.
type Decision struct {
	Admitted bool
	// RetryAfter is when the caller is to come back, where it is not admitted.
	RetryAfter time.Duration
	// Share is the share of such requests that is admitted, by a plan of this age.
	Share   float64
	PlanAge time.Duration
}

// Gate applies the plans of services on one node. It is safe for concurrent use.
type Gate struct {
	mu    sync.RWMutex
	plans map[string]heldPlan
}

// heldPlan is a plan and when it came.
type heldPlan struct {
	plan     Plan
	at       time.Duration
	backends map[string]BackendPlan
}

// NewGate returns a gate without plans: it admits everything.
func NewGate() *Gate { return &Gate{plans: map[string]heldPlan{}} }

// Put puts a plan in force.
func (g *Gate) Put(now time.Duration, service string, plan Plan) {
	held := heldPlan{plan: plan, at: now, backends: make(map[string]BackendPlan, len(plan.Backends))}
	for _, described := range plan.Backends {
		held.backends[described.ID] = described
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans[service] = held
}

// plan returns the plan in force.
func (g *Gate) plan(now time.Duration, service string) heldPlan {
	g.mu.RLock()
	defer g.mu.RUnlock()
	held, known := g.plans[service]
	if !known || now-held.at > planLifetime {
		return heldPlan{plan: openPlan()}
	}
	return held
}

// Interval returns how often the node reports on a service.
func (g *Gate) Interval(now time.Duration, service string) time.Duration {
	return g.plan(now, service).plan.Interval
}

// Admit decides on a request.
func (g *Gate) Admit(now time.Duration, service string, retry bool, random Random) Decision {
	held := g.plan(now, service)
	share := held.plan.FirstAttempts
	if retry {
		share = held.plan.Retries
	}
	if share >= 1 || random() < share {
		return Decision{Admitted: true, Share: share, PlanAge: now - held.at}
	}
	spread := 1 - retryAfterSpread + 2*retryAfterSpread*random()
	return Decision{RetryAfter: time.Duration(float64(held.plan.RetryAfter) * spread), Share: share, PlanAge: now - held.at}
}

// Candidate is a back end that a request may be sent to, as its node sees it.
type Candidate struct {
	ID string
	// SameZone is set where it is in the zone of the node.
	SameZone bool
	// ZoneOnly is set where it was drawn because of its zone. A choice among all zones passes it over:
	// the zone would have more than its share.
	ZoneOnly bool
	// Pending is how many requests of this node are under way there.
	Pending int
	// FailureRate is the share of this node's requests that failed there of late.
	FailureRate float64
	// Full is set where it has just rejected a request of this node.
	Full bool
}

// Choose returns the index of the back end that a request is sent to. It draws two by their
// weights and takes the one at which the node itself has less under way: a fixed order of
// back ends would send all nodes that hold the same plan to the same one.
func (g *Gate) Choose(now time.Duration, service string, candidates []Candidate, random Random) int {
	held := g.plan(now, service)
	weights := make([]float64, len(candidates))
	for i, candidate := range candidates {
		weights[i] = held.weight(candidate)
	}
	isHome := random() < held.homeShare(candidates, weights)
	for i, candidate := range candidates {
		if isHome && !candidate.SameZone || !isHome && candidate.ZoneOnly {
			weights[i] = 0
		}
	}
	first, second := draw(weights, random), draw(weights, random)
	if float64(candidates[second].Pending)*weights[first] < float64(candidates[first].Pending)*weights[second] {
		return second
	}
	return first
}

// weight returns the weight of a back end by the plan and by what the node has just seen.
func (h heldPlan) weight(candidate Candidate) float64 {
	weight := 1.0
	if described, known := h.backends[candidate.ID]; known {
		weight = described.Weight
	}
	sound := 1 - candidate.FailureRate
	weight *= sound * sound
	if candidate.Full {
		weight *= fullFactor
	}
	return max(weight, leastShare*leastShare)
}

// fullness returns how full a back end is by the plan.
func (h heldPlan) fullness(id string) float64 {
	if described, known := h.backends[id]; known {
		return described.Utilization
	}
	return h.plan.RestUtilization
}

// homeShare returns the probability with which a request stays in its zone: 1 while the back
// ends there are less than half full and as sound as usual, 0 where they are full.
func (h heldPlan) homeShare(candidates []Candidate, weights []float64) float64 {
	count, fullness, weight := 0, 0.0, 0.0
	for i, candidate := range candidates {
		if candidate.SameZone {
			count++
			fullness += h.fullness(candidate.ID)
			weight += weights[i]
		}
	}
	if count == 0 {
		return 0
	}
	fullness /= float64(count)
	weight /= float64(count)
	stay := (awayFullness - fullness) / (awayFullness - homeFullness)
	return min(1, max(0, stay)) * min(1, weight)
}

// draw returns an index with a probability that goes by its weight.
func draw(weights []float64, random Random) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	left := random() * sum
	last := 0
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		last = i
		left -= weight
		if left < 0 {
			return i
		}
	}
	return last
}
