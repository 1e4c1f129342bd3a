package node

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/timeline"
)

const (
	// isolationLimit is the maximum age of the platform's last response at which a
	// node without contact to most of the fleet still accepts new requests. Together
	// with the time until the loss of contact is detected and a probe of the platform
	// it stays below the 6 s within which a configuration is active everywhere.
	isolationLimit = 1500 * time.Millisecond
	// probeTimeout bounds one probe of the platform.
	probeTimeout = time.Second
)

// AcceptsWork reports whether the node accepts new requests: it has a
// configuration and is not isolated.
func (c *Core) AcceptsWork() bool {
	state := c.Table.Self().State
	return state != membership.StateStarting && !c.isolated.Load()
}

// IsReady reports whether the load balancer should send callers to the node.
func (c *Core) IsReady() bool {
	return c.AcceptsWork() && !c.draining.Load()
}

// hasEnoughContact reports whether the node is in contact with most of the fleet,
// or has never been in contact with any other node. A change is accepted only at
// a node in contact with at least half of the fleet, so a node in contact with
// more than half cannot miss it.
func (c *Core) hasEnoughContact() bool {
	now := c.options.Now()
	hasContact, everHad := c.Table.HasLiveContact(now)
	if !everHad {
		return true
	}
	return hasContact && c.Table.SeesRecentMajority(now)
}

// SeesHalf reports whether the node is in contact with at least half of the fleet.
// Then no node that it cannot reach is in contact with more than half.
func (c *Core) SeesHalf() bool { return c.Table.SeesHalf(c.options.Now()) }

// reconcileIsolation makes the node reject new requests while it neither has
// contact with most of the fleet nor reaches the platform: a newer configuration
// may be active elsewhere. An outage of the platform alone does not isolate it.
func (c *Core) reconcileIsolation(ctx context.Context) {
	if c.hasEnoughContact() {
		c.setIsolated(false)
		return
	}
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.syncer.Probe(probeCtx)
	responseAge := c.options.Now().UnixNano() - c.platformAnsweredAt.Load()
	c.setIsolated(responseAge > isolationLimit.Nanoseconds())
}

func (c *Core) setIsolated(isolated bool) {
	if c.isolated.Swap(isolated) == isolated {
		return
	}
	var kind timeline.Kind = "node-rejoined"
	if isolated {
		kind = "node-isolated"
		c.Metrics.Add("isolations", 1)
	}
	c.Events.Record(timeline.Event{Kind: kind})
}

// reconcileReadiness makes a starting node ready once it has the newest
// configuration of the platform or, while the platform is down, of the peers.
func (c *Core) reconcileReadiness(ctx context.Context) {
	c.reconcileIsolation(ctx)
	if c.draining.Load() || c.Table.Self().State != membership.StateStarting {
		return
	}
	if !c.syncer.Synced() || c.Configuration.Current().Version() == 0 {
		return
	}
	// Every peer needs time to send a heartbeat with its version: nodes that have not
	// discovered each other yet would place the same records on different nodes.
	if c.options.Now().Sub(c.started) < 2*c.options.Membership.Interval {
		return
	}
	c.Table.SetState(membership.StateReady)
	c.Events.Record(timeline.Event{Kind: "node-ready"})
	c.members.Announce()
}

// Drain makes the node unready and hands over what it owns to the other nodes.
// Requests in flight continue.
func (c *Core) Drain() {
	if c.draining.Swap(true) {
		return
	}
	c.Table.SetState(membership.StateDraining)
	c.Events.Record(timeline.Event{Kind: "node-draining"})
	c.members.Announce()
	c.Owner.HandOver()
}
