package quota

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

const (
	// presenceLifetime is how long a node belongs to a coordinator after its last call. Nodes
	// call each half second. While it lasts, the part of nodes that were cut off is given out
	// twice.
	presenceLifetime = 800 * time.Millisecond
	// aboveUsualShare is the share of its burst below which a tenant counts as above its usual. One
	// at its usual, 0.55 of its limit, has a full bucket but for some requests.
	aboveUsualShare = 0.25
	// wholePart is the part of the nodes that counts as all of them: the limits' own tolerance
	// (a tenth on the sites' sheets) covers what the others may use.
	wholePart = 0.9
	// longestRetryAfter bounds when a caller is asked to come back; callers wait no longer.
	longestRetryAfter = 5 * time.Second
)

// Charge is a request to use a part of a tenant's limit.
type Charge struct {
	// Tenant is the name of the tenant; empty where a node only says that it belongs here.
	Tenant string
	// Holder is the address of the node that asks.
	Holder string
	// Units is what the request costs.
	Units float64
	// Uses is what the coordinator does not know of: this tenant's, or several tenants'.
	Uses []Use
}

// Use is what a node has used of a tenant's limit without the coordinator that it reports to.
type Use struct {
	Tenant string
	// Unreported is what was used without asking, while no coordinator answered. What is given
	// back, of requests that did not run, is negative.
	Unreported float64
	// Recent is what another coordinator granted of late, as a sum that decays with recentTime.
	// It is reported once, by a node that has changed its coordinator.
	Recent float64
}

// Grant answers a Charge.
type Grant struct {
	Granted bool
	// TenantKnown is set where the coordinator knows the tenant. One with an older configuration may
	// not; the node decides alone then.
	TenantKnown bool
	// RetryAfter is when the credit of the tenant suffices, where it does not now.
	RetryAfter time.Duration
	// Level is the credit that the tenant has left.
	Level float64
	// AboveUsual is set where the tenant has nearly used up its limit. Limits lie well above what
	// tenants usually use, so that others go before it in queues.
	AboveUsual bool
}

// Options are the parts of a Coordinator.
type Options struct {
	// Tenant returns a tenant by name, nil where the configuration in force has none.
	Tenant func(name string) *tenant.Tenant
	// Nodes returns how many nodes the fleet has, also those that do not answer.
	Nodes func() int
	// Tolerance is by how much limits may be exceeded.
	Tolerance Tolerance
}

// Coordinator keeps the buckets of all tenants. The load that it answers is that of tenants which
// send several times their limit, through nodes that each see little of it. It is safe for
// concurrent use.
type Coordinator struct {
	options Options

	mu      sync.Mutex
	buckets map[string]*bucket
	// calledAt is when each node last called.
	calledAt map[string]time.Duration
	// part is the part of each limit that is given out, as of partAt.
	part   float64
	partAt time.Duration
}

// partInterval is how often the part is worked out: it costs a look at each node.
const partInterval = 100 * time.Millisecond

// NewCoordinator returns a coordinator that no node has called.
func NewCoordinator(options Options) *Coordinator {
	return &Coordinator{options: options, buckets: map[string]*bucket{}, calledAt: map[string]time.Duration{}, partAt: -partInterval}
}

// Take decides on a charge.
func (c *Coordinator) Take(now time.Duration, charge Charge) Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calledAt[charge.Holder] = now
	for _, use := range charge.Uses {
		c.note(now, use)
	}
	found := c.options.Tenant(charge.Tenant)
	if found == nil {
		return Grant{}
	}
	if !found.Quota.Limited() {
		return Grant{Granted: true, TenantKnown: true}
	}
	kept, part := c.current(now, found), c.currentPart(now)
	if kept.take(charge.Units, part) {
		return Grant{Granted: true, TenantKnown: true, Level: kept.level, AboveUsual: kept.level < aboveUsualShare*kept.limit.Burst*part}
	}
	return Grant{TenantKnown: true, Level: kept.level, RetryAfter: kept.wait(charge.Units, part)}
}

// note takes over what was used without this coordinator; the lock is held.
func (c *Coordinator) note(now time.Duration, use Use) {
	found := c.options.Tenant(use.Tenant)
	if found == nil || !found.Quota.Limited() {
		return
	}
	kept := c.current(now, found)
	kept.level = min(kept.level-use.Unreported, kept.limit.Burst*c.currentPart(now))
	kept.grantedElsewhere(now, use.Recent)
}

// current returns the bucket of a tenant, up to date; the lock is held.
func (c *Coordinator) current(now time.Duration, found *tenant.Tenant) *bucket {
	part, limit := c.currentPart(now), c.options.Tolerance.limit(found.Quota)
	kept := c.buckets[found.Name]
	if kept == nil {
		kept = newBucket(now, limit, part)
		c.buckets[found.Name] = kept
	}
	kept.refill(now, limit, part)
	return kept
}

// currentPart returns the part of each limit that belongs to the nodes which called lately; the
// lock is held. The other nodes may have another coordinator, or be alone.
func (c *Coordinator) currentPart(now time.Duration) float64 {
	if now-c.partAt < partInterval {
		return c.part
	}
	for holder, at := range c.calledAt {
		if now-at > presenceLifetime {
			delete(c.calledAt, holder)
		}
	}
	c.part, c.partAt = float64(len(c.calledAt))/float64(max(1, c.options.Nodes())), now
	if c.part >= wholePart {
		c.part = 1
	}
	return c.part
}

// ActiveNodes returns how many nodes have called lately.
func (c *Coordinator) ActiveNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calledAt)
}
