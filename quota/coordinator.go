package quota

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

const (
	// presenceLifetime is how long a node belongs to a coordinator after its last call. Nodes call every half
	// second. Until this time has passed, the share of nodes that a network partition has separated is granted
	// twice.
	presenceLifetime = 800 * time.Millisecond
	// aboveUsualLevel is the fraction of its burst below which a tenant counts as above its usual rate. A
	// tenant at its usual rate, 0.55 of its limit, has a bucket that lacks only the cost of a few requests.
	aboveUsualLevel = 0.25
	// fullShare is the fraction of the nodes that counts as all of them: the limits' own tolerance (a tenth on
	// the supported deployments) covers what the others may use.
	fullShare = 0.9
	// maxRetryAfter bounds the retry delay that callers are given; they wait no longer.
	maxRetryAfter = 5 * time.Second
)

// Charge is a request to use a part of a tenant's limit.
type Charge struct {
	// Tenant is the name of the tenant; empty if a node only registers with the coordinator.
	Tenant string
	// Holder is the address of the calling node.
	Holder string
	// Units is the cost of the request.
	Units float64
	// Usages holds the usage that the coordinator has no record of; it may be that of several tenants.
	Usages []Usage
}

// Usage is what a node has used of a tenant's limit without a grant of the coordinator that it reports to.
type Usage struct {
	Tenant string
	// Unreported is what was used without a call to a coordinator, while none answered. It is negative for
	// refunds of requests that did not run.
	Unreported float64
	// Recent is what another coordinator granted recently, as a sum that decays with recentTime. It is reported
	// once, by a node that has changed its coordinator.
	Recent float64
}

// Grant is the response to a Charge.
type Grant struct {
	Granted bool
	// TenantKnown is set if the coordinator knows the tenant. A coordinator with an older configuration may not
	// know the tenant; the node then decides locally.
	TenantKnown bool
	// RetryAfter is when the tenant's credit suffices, if it does not now.
	RetryAfter time.Duration
	// Level is the tenant's remaining credit.
	Level float64
	// AboveUsual is set if the tenant has nearly used up its limit. Limits are well above the usual rate of
	// tenants, so other tenants precede it in queues.
	AboveUsual bool
}

// Options configures a Coordinator.
type Options struct {
	// Tenant returns a tenant by name, nil if the active configuration has none.
	Tenant func(name string) *tenant.Tenant
	// Nodes returns the number of nodes in the fleet, including those that do not answer.
	Nodes func() int
	// Tolerance is how far limits may be exceeded.
	Tolerance Tolerance
}

// Coordinator holds the token buckets of all tenants. It limits tenants that send several times their limit
// through nodes that each see little of it. It is safe for concurrent use.
type Coordinator struct {
	options Options

	mu      sync.Mutex
	buckets map[string]*bucket
	// calledAt is when each node last called.
	calledAt map[string]time.Duration
	// share is the share of each limit that may be granted, as of shareAt.
	share   float64
	shareAt time.Duration
}

// shareInterval is how often the share is recomputed, which iterates over all nodes.
const shareInterval = 100 * time.Millisecond

// NewCoordinator returns a coordinator that no node has called.
func NewCoordinator(options Options) *Coordinator {
	return &Coordinator{options: options, buckets: map[string]*bucket{}, calledAt: map[string]time.Duration{}, shareAt: -shareInterval}
}

// Decide decides on a charge.
func (c *Coordinator) Decide(now time.Duration, charge Charge) Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calledAt[charge.Holder] = now
	for _, usage := range charge.Usages {
		c.addUsage(now, usage)
	}
	found := c.options.Tenant(charge.Tenant)
	if found == nil {
		return Grant{}
	}
	if !found.Quota.Limited() {
		return Grant{Granted: true, TenantKnown: true}
	}
	current, share := c.current(now, found), c.currentShare(now)
	if current.take(charge.Units, share) {
		return Grant{Granted: true, TenantKnown: true, Level: current.level, AboveUsual: current.level < aboveUsualLevel*current.limit.Burst*share}
	}
	return Grant{TenantKnown: true, Level: current.level, RetryAfter: current.wait(charge.Units, share)}
}

// addUsage records usage without this coordinator's grant; the lock is held.
func (c *Coordinator) addUsage(now time.Duration, usage Usage) {
	found := c.options.Tenant(usage.Tenant)
	if found == nil || !found.Quota.Limited() {
		return
	}
	current := c.current(now, found)
	current.level = min(current.level-usage.Unreported, current.limit.Burst*c.currentShare(now))
	current.grantedElsewhere(now, usage.Recent)
}

// current returns the bucket of a tenant, refilled; the lock is held.
func (c *Coordinator) current(now time.Duration, found *tenant.Tenant) *bucket {
	share, limit := c.currentShare(now), c.options.Tolerance.limit(found.Quota)
	current := c.buckets[found.Name]
	if current == nil {
		current = newBucket(now, limit, share)
		c.buckets[found.Name] = current
	}
	current.refill(now, limit, share)
	return current
}

// currentShare returns the share of each limit that belongs to the nodes that called recently; the lock is
// held. The other nodes may have another coordinator or none.
func (c *Coordinator) currentShare(now time.Duration) float64 {
	if now-c.shareAt < shareInterval {
		return c.share
	}
	for holder, at := range c.calledAt {
		if now-at > presenceLifetime {
			delete(c.calledAt, holder)
		}
	}
	c.share, c.shareAt = float64(len(c.calledAt))/float64(max(1, c.options.Nodes())), now
	if c.share >= fullShare {
		c.share = 1
	}
	return c.share
}

// ActiveNodes returns how many nodes have called recently.
func (c *Coordinator) ActiveNodes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calledAt)
}
