package admission

import (
	"math/rand/v2"
	"time"
)

// Node is what one node decides on plain services: its Meter and its Gate with a clock. It is
// safe for concurrent use.
type Node struct {
	meter *Meter
	gate  *Gate
	now   func() time.Duration
}

// NewNode returns the decisions of the node at an address, without plans. The clock is
// monotonic.
func NewNode(address string, now func() time.Duration) *Node {
	return &Node{meter: NewMeter(address), gate: NewGate(), now: now}
}

// Admit counts a caller's request and decides on it. The objective is that of its route. A retry is
// admitted after first tries, and so is what counts as one: a request of a tenant far above its
// usual.
func (n *Node) Admit(service string, objective time.Duration, retry bool) Decision {
	now := n.now()
	decision := n.gate.Admit(now, service, retry, rand.Float64)
	n.meter.Offered(now, service, objective, retry, decision.Admitted)
	return decision
}

// Choose returns the index of the back end that a request is sent to.
func (n *Node) Choose(service string, candidates []Candidate) int {
	return n.gate.Choose(n.now(), service, candidates, rand.Float64)
}

// Begin counts a request that is sent to a back end. The function that it returns must be
// called with the outcome, once.
func (n *Node) Begin(service, backend string) func(Outcome) {
	ended := n.meter.Begin(n.now(), service, backend)
	return func(outcome Outcome) { ended(n.now(), outcome) }
}

// Put puts a plan in force.
func (n *Node) Put(service string, plan Plan) { n.gate.Put(n.now(), service, plan) }
