package gateway

import "time"

// Freshness describes how current the configuration of this node is. It is logged with requests that match
// no route: it shows whether the route is missing on all nodes or on this one only.
type Freshness struct {
	// ActiveRevision is the revision of the active configuration, and KnownRevision the newest one received
	// by this node.
	ActiveRevision, KnownRevision int64
	// SinceInSync is the time since this node's configuration was last known to equal that of a node that
	// watches the store, as reported by other nodes.
	SinceInSync time.Duration
	// Exchanges is the number of object exchanges with other nodes in progress, and OldestExchange the age
	// of the oldest one.
	Exchanges      int
	OldestExchange time.Duration
}

// attributes returns the log attributes for a request without a route.
func (f Freshness) attributes() []any {
	return []any{
		"revision_in_force", f.ActiveRevision, "revision_known", f.KnownRevision, "agreed_ms", f.SinceInSync.Milliseconds(),
		"exchanges", f.Exchanges, "oldest_exchange_ms", f.OldestExchange.Milliseconds(),
	}
}
