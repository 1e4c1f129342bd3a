package node

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/timeline"
)

// isolationLimit is how long a node that hears neither peers nor the platform
// goes on taking new work. It stays below the 6 s within which a configuration
// is in force everywhere, less the time in which the silence is noticed.
const isolationLimit = 2 * time.Second

// AcceptsWork reports whether the node takes new requests: it holds a
// configuration and is not cut off.
func (c *Core) AcceptsWork() bool {
	state := c.Table.Self().State
	return state != membership.StateStarting && !c.isIsolated()
}

// IsReady reports whether the balancer should send callers to the node.
func (c *Core) IsReady() bool {
	return c.AcceptsWork() && !c.draining.Load()
}

// isIsolated reports whether the node hears nobody, although there were others,
// and the platform does not answer either. An outage of the platform alone is
// no reason to stop.
func (c *Core) isIsolated() bool {
	hears, everDid := c.Table.HearsAnyone(c.options.Now())
	if hears || !everDid {
		return false
	}
	return c.options.Now().UnixNano()-c.confirmedAt.Load() > isolationLimit.Nanoseconds()
}

// reconcileReadiness makes a starting node ready once it has the newest
// configuration that the platform or, while it is down, the peers hold. A node
// that hears nobody asks the platform often enough to notice being cut off.
func (c *Core) reconcileReadiness(ctx context.Context) {
	if hears, everDid := c.Table.HearsAnyone(c.options.Now()); everDid && !hears {
		c.syncer.Probe(ctx)
	}
	if c.draining.Load() || c.Table.Self().State != membership.StateStarting {
		return
	}
	if !c.syncer.Asked() || c.Configuration.Current().Version() == 0 {
		return
	}
	// Without the platform's word, every peer gets the time to tell its version.
	settled := c.options.Now().Sub(c.started) >= 2*c.options.Membership.Interval
	if c.confirmedAt.Load() == 0 && !settled {
		return
	}
	c.Table.SetState(membership.StateReady)
	c.Events.Record(timeline.Event{Kind: "node-ready"})
	c.members.Announce()
}

// Drain makes the node unready and hands what it owns to the other nodes.
// Requests in flight go on.
func (c *Core) Drain() {
	if c.draining.Swap(true) {
		return
	}
	c.Table.SetState(membership.StateDraining)
	c.Events.Record(timeline.Event{Kind: "node-draining"})
	c.members.Announce()
	c.Owner.HandOver()
}
