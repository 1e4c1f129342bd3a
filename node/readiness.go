package node

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/timeline"
)

const (
	// isolationLimit is how old the platform's last answer may be for a node that
	// does not hear most of the fleet to go on taking new work. With the time in
	// which the silence is noticed and a probe of the platform it stays below the
	// 6 s within which a configuration is in force everywhere.
	isolationLimit = 1500 * time.Millisecond
	// probeTimeout bounds one question to the platform.
	probeTimeout = time.Second
)

// AcceptsWork reports whether the node takes new requests: it holds a
// configuration and is not cut off.
func (c *Core) AcceptsWork() bool {
	state := c.Table.Self().State
	return state != membership.StateStarting && !c.isolated.Load()
}

// IsReady reports whether the balancer should send callers to the node.
func (c *Core) IsReady() bool {
	return c.AcceptsWork() && !c.draining.Load()
}

// hearsEnough reports whether the node hears most of the fleet, or never heard
// anyone. A change is accepted only at a node that hears at least half of the
// fleet, so it cannot be accepted out of the sight of a node that hears more.
func (c *Core) hearsEnough() bool {
	now := c.options.Now()
	hears, everDid := c.Table.HasLiveContact(now)
	if !everDid {
		return true
	}
	return hears && c.Table.SeesRecentMajority(now)
}

// SeesHalf reports whether the node hears at least half of the fleet. Then no node
// that it does not hear can hear most of the fleet.
func (c *Core) SeesHalf() bool { return c.Table.SeesHalf(c.options.Now()) }

// reconcileIsolation stops new work at a node that neither hears most of the
// fleet nor reaches the platform: a newer configuration may be in force
// elsewhere. An outage of the platform alone is no reason to stop.
func (c *Core) reconcileIsolation(ctx context.Context) {
	if c.hearsEnough() {
		c.setIsolated(false)
		return
	}
	probing, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.syncer.Probe(probing)
	silence := c.options.Now().UnixNano() - c.confirmedAt.Load()
	c.setIsolated(silence > isolationLimit.Nanoseconds())
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
// configuration that the platform or, while it is down, the peers hold.
func (c *Core) reconcileReadiness(ctx context.Context) {
	c.reconcileIsolation(ctx)
	if c.draining.Load() || c.Table.Self().State != membership.StateStarting {
		return
	}
	if !c.syncer.Synced() || c.Configuration.Current().Version() == 0 {
		return
	}
	// Every peer gets the time to make itself known and to tell its version: nodes
	// that do not know each other yet would keep the same records at other places.
	if c.options.Now().Sub(c.started) < 2*c.options.Membership.Interval {
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
