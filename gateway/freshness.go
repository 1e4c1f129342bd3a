package gateway

import "time"

// Freshness is how new the configuration of this node may be. A request without a route is answered by it: whether
// the route is missing everywhere or here alone shows in it.
type Freshness struct {
	// RevisionInForce is the revision of the configuration in force, and RevisionKnown the newest one that has
	// reached this node.
	RevisionInForce, RevisionKnown int64
	// SinceInSync is how long ago this node's configuration was that of a node that follows the store, as far as other
	// nodes tell.
	SinceInSync time.Duration
	// Exchanges is how many exchanges of objects with other nodes are under way, and OldestExchange how long the
	// first of them is.
	Exchanges      int
	OldestExchange time.Duration
}

// attributes are what a line on a request without a route says.
func (f Freshness) attributes() []any {
	return []any{
		"revision_in_force", f.RevisionInForce, "revision_known", f.RevisionKnown, "agreed_ms", f.SinceInSync.Milliseconds(),
		"exchanges", f.Exchanges, "oldest_exchange_ms", f.OldestExchange.Milliseconds(),
	}
}
