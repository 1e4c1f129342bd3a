package admission

import (
	"math/rand/v2"
	"time"
)

// Node is the admission control of one node: its Meter and its Gate with a clock. It is safe for concurrent
// use.
type Node struct {
	meter *Meter
	gate  *Gate
	now   func() time.Duration
}

// NewNode returns the admission control of the node at an address, without plans. The clock is monotonic.
func NewNode(address string, now func() time.Duration) *Node {
	return &Node{meter: NewMeter(address), gate: NewGate(), now: now}
}

// Admit counts a caller's request and decides on it. The objective is that of its route. A client retry is
// admitted after first attempts; a request of a tenant far above its usual rate counts as a retry as well.
func (n *Node) Admit(service string, objective time.Duration, retry bool) Decision {
	now := n.now()
	decision := n.gate.Admit(now, service, retry, rand.Float64)
	n.meter.Offered(now, service, objective, retry, decision.Admitted)
	return decision
}

// Choose returns the index of the backend that a request is sent to.
func (n *Node) Choose(service string, candidates []Candidate) int {
	return n.gate.Choose(n.now(), service, candidates, rand.Float64)
}

// Begin counts a request that is sent to a backend. The returned function must be called once, with the
// outcome.
func (n *Node) Begin(service, backend string) func(Outcome) {
	ended := n.meter.Begin(n.now(), service, backend)
	return func(outcome Outcome) { ended(n.now(), outcome) }
}

// Put applies a plan.
func (n *Node) Put(service string, plan Plan) { n.gate.Put(n.now(), service, plan) }
