package admission

import (
	"sync"
	"time"
)

const (
	// planLifetime is how long a plan is valid: about the time in which a failed coordinator is replaced.
	planLifetime = 2500 * time.Millisecond
	// localUtilization and remoteUtilization bound the choice between zones: below the first, requests stay in
	// their zone; above the second, all zones are equal. Traffic between zones is costly, and a wait in a
	// queue costs more.
	localUtilization  = 0.5
	remoteUtilization = 1.0
	// retryAfterJitter is the jitter of the retry delay, as a fraction, so that callers rejected together retry
	// at different times.
	retryAfterJitter = 0.5
	// rejectedFactor multiplies the weight of a backend that has just rejected a request.
	rejectedFactor = 0.05
)

// Random returns numbers in [0, 1).
type Random func() float64

// Decision is the result of Gate.Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is when a caller that is not admitted should retry.
	RetryAfter time.Duration
	// Share is the admitted share of the requests of this kind (first attempts or client retries), by a plan of
	// age PlanAge.
	Share   float64
	PlanAge time.Duration
}

// Gate applies the plans of services on one node. It is safe for concurrent use.
type Gate struct {
	mu    sync.RWMutex
	plans map[string]receivedPlan
}

// receivedPlan is a plan and when it arrived.
type receivedPlan struct {
	plan     Plan
	at       time.Duration
	backends map[string]BackendPlan
}

// NewGate returns a gate without plans, which admits everything.
func NewGate() *Gate { return &Gate{plans: map[string]receivedPlan{}} }

// Put applies a plan.
func (g *Gate) Put(now time.Duration, service string, plan Plan) {
	received := receivedPlan{plan: plan, at: now, backends: make(map[string]BackendPlan, len(plan.Backends))}
	for _, described := range plan.Backends {
		received.backends[described.ID] = described
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.plans[service] = received
}

// plan returns the active plan, or one that admits everything.
func (g *Gate) plan(now time.Duration, service string) receivedPlan {
	g.mu.RLock()
	defer g.mu.RUnlock()
	received, found := g.plans[service]
	if !found || now-received.at > planLifetime {
		return receivedPlan{plan: admitAllPlan()}
	}
	return received
}

// Interval returns how often the node reports on a service.
func (g *Gate) Interval(now time.Duration, service string) time.Duration {
	return g.plan(now, service).plan.Interval
}

// Admit decides on a request; retry is set for a client retry.
func (g *Gate) Admit(now time.Duration, service string, retry bool, random Random) Decision {
	received := g.plan(now, service)
	share := received.plan.FirstAttempts
	if retry {
		share = received.plan.Retries
	}
	if share >= 1 || random() < share {
		return Decision{Admitted: true, Share: share, PlanAge: now - received.at}
	}
	jitter := 1 - retryAfterJitter + 2*retryAfterJitter*random()
	return Decision{RetryAfter: time.Duration(float64(received.plan.RetryAfter) * jitter), Share: share, PlanAge: now - received.at}
}

// Candidate is a backend that a request may be sent to, as its node sees it.
type Candidate struct {
	ID string
	// SameZone is set if the backend is in the node's zone.
	SameZone bool
	// ZoneOnly is set if the backend was sampled for its zone. A choice among all zones ignores such a backend:
	// its zone would receive more than its share.
	ZoneOnly bool
	// Pending is the number of this node's requests in flight there.
	Pending int
	// FailureRate is the share of this node's requests that failed there recently.
	FailureRate float64
	// Full is set if the backend has just rejected a request of this node.
	Full bool
}

// Choose returns the index of the backend that a request is sent to. It draws two by their weights and takes
// the one with fewer requests in flight from this node: with a fixed order, all nodes that have the same plan
// would choose the same backend.
func (g *Gate) Choose(now time.Duration, service string, candidates []Candidate, random Random) int {
	received := g.plan(now, service)
	weights := make([]float64, len(candidates))
	for i, candidate := range candidates {
		weights[i] = received.weight(candidate)
	}
	isLocal := random() < received.localShare(candidates, weights)
	for i, candidate := range candidates {
		if isLocal && !candidate.SameZone || !isLocal && candidate.ZoneOnly {
			weights[i] = 0
		}
	}
	first, second := draw(weights, random), draw(weights, random)
	if float64(candidates[second].Pending)*weights[first] < float64(candidates[first].Pending)*weights[second] {
		return second
	}
	return first
}

// weight returns the weight of a backend by the plan and by this node's own recent requests.
func (p receivedPlan) weight(candidate Candidate) float64 {
	weight := 1.0
	if described, listed := p.backends[candidate.ID]; listed {
		weight = described.Weight
	}
	successRate := 1 - candidate.FailureRate
	weight *= successRate * successRate
	if candidate.Full {
		weight *= rejectedFactor
	}
	return max(weight, minCapacityShare*minCapacityShare)
}

// utilization returns the utilization of a backend by the plan.
func (p receivedPlan) utilization(id string) float64 {
	if described, listed := p.backends[id]; listed {
		return described.Utilization
	}
	return p.plan.RestUtilization
}

// localShare returns the probability that a request stays in its zone: 1 while the backends there are less than
// half utilized and as healthy as usual, 0 when they are full.
func (p receivedPlan) localShare(candidates []Candidate, weights []float64) float64 {
	count, utilization, weight := 0, 0.0, 0.0
	for i, candidate := range candidates {
		if candidate.SameZone {
			count++
			utilization += p.utilization(candidate.ID)
			weight += weights[i]
		}
	}
	if count == 0 {
		return 0
	}
	utilization /= float64(count)
	weight /= float64(count)
	stay := (remoteUtilization - utilization) / (remoteUtilization - localUtilization)
	return min(1, max(0, stay)) * min(1, weight)
}

// draw returns a random index, with probabilities proportional to the weights.
func draw(weights []float64, random Random) int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	remaining := random() * sum
	last := 0
	for i, weight := range weights {
		if weight == 0 {
			continue
		}
		last = i
		remaining -= weight
		if remaining < 0 {
			return i
		}
	}
	return last
}
