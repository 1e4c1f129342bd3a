package quota

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/tenant"
)

const (
	// chargeTimeout is how long the coordinator may take to respond to a charge. The request waits for the
	// response before anything else is done, and its node decides locally after the timeout.
	chargeTimeout = 60 * time.Millisecond
	// reportTimeout bounds a call that no request waits for.
	reportTimeout = 300 * time.Millisecond
	// checkInterval is how often a node checks for another coordinator.
	checkInterval = 100 * time.Millisecond
	// presenceInterval is the longest time between two calls of a node to its coordinator.
	presenceInterval = 500 * time.Millisecond
)

// Scope selects the coordinator of quotas in calls of coordinator.Locator.
const Scope = "quotas"

// ClientOptions configures a Client.
type ClientOptions struct {
	Coordinators coordinator.Locator
	Peers        *peer.Client
	// LocalCoordinator decides when this node is the coordinator.
	LocalCoordinator *Coordinator
	// LocalLimiter decides when no coordinator answers.
	LocalLimiter *LocalLimiter
	// Limited reports whether any tenant has a limit: without one, no coordinator is called.
	Limited func() bool
	// Now reads a monotonic clock.
	Now func() time.Duration
}

// Client charges the requests of this node. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	// coordinator is the coordinator's address at the last check; empty for none.
	coordinator atomic.Pointer[string]
	// answeredAt is when a coordinator last answered, by the clock of the options.
	answeredAt atomic.Int64
	// recent is what the coordinator, or an earlier one, granted recently.
	recent recentUsage
}

// NewClient returns a client that decides locally until Run has found a coordinator.
func NewClient(options ClientOptions) *Client {
	client := &Client{options: options}
	client.coordinator.Store(new(string))
	return client
}

// Source is what decided on a charge.
type Source string

// Sources of a decision.
const (
	SourceCoordinator Source = "coordinator"
	SourceLocal       Source = "alone"
)

// Decision is whether a request may be served, and what decided it.
type Decision struct {
	Grant
	Source Source
}

// Charge decides on a tenant's request that costs the given units.
func (c *Client) Charge(ctx context.Context, charged *tenant.Tenant, units float64) Decision {
	address := *c.coordinator.Load()
	if address != "" {
		usages := c.options.LocalLimiter.TakeUnreported(charged.Name)
		grant, err := c.send(ctx, address, Charge{Tenant: charged.Name, Units: units, Usages: usages}, chargeTimeout)
		if err == nil && grant.TenantKnown {
			if grant.Granted {
				c.recent.add(c.options.Now(), charged.Name, units)
			}
			return Decision{Grant: grant, Source: SourceCoordinator}
		}
		c.options.LocalLimiter.RestoreUnreported(usages)
		if err != nil && ctx.Err() == nil {
			c.options.Coordinators.Missed(address, err)
		}
	}
	now := c.options.Now()
	grant := c.options.LocalLimiter.Decide(now, charged, units, now-time.Duration(c.answeredAt.Load()))
	return Decision{Grant: grant, Source: SourceLocal}
}

// Refund returns the units of a request that did not run. It does not wait for the response; a refund that is
// not delivered is reported with a later charge.
func (c *Client) Refund(charged *tenant.Tenant, units float64) {
	c.options.LocalLimiter.AddUnreported(charged.Name, -units)
	c.recent.add(c.options.Now(), charged.Name, -units)
	if address := *c.coordinator.Load(); address != "" {
		go c.report(context.Background(), address, c.options.LocalLimiter.TakeUnreported(charged.Name))
	}
}

// report registers this node with a coordinator, and sends usage that the coordinator has no record of.
func (c *Client) report(ctx context.Context, address string, usages []Usage) {
	if _, err := c.send(ctx, address, Charge{Usages: usages}, reportTimeout); err != nil {
		c.options.LocalLimiter.RestoreUnreported(usages)
		c.options.Coordinators.Missed(address, err)
	}
}

// Run tracks the coordinator and registers this node with it, until the context ends.
func (c *Client) Run(ctx context.Context) {
	grantedBy := ""
	periodic.Run(ctx, checkInterval, func(ctx context.Context) {
		address := ""
		if c.options.Limited() {
			address, _ = c.options.Coordinators.Coordinator(Scope)
		}
		changed := address != *c.coordinator.Load()
		if changed {
			c.coordinator.Store(&address)
		}
		now := c.options.Now()
		if address == "" || !changed && now-time.Duration(c.answeredAt.Load()) < presenceInterval {
			return
		}
		usages := c.options.LocalLimiter.TakeAllUnreported()
		if address != grantedBy && grantedBy != "" {
			usages = append(usages, c.recent.drain(now)...)
		}
		c.recent.prune(now)
		grantedBy = address
		go c.report(ctx, address, usages)
	})
}

// send sends a charge to a coordinator, possibly this node.
func (c *Client) send(ctx context.Context, address string, charge Charge, timeout time.Duration) (Grant, error) {
	charge.Holder = c.options.Coordinators.Own()
	if address == charge.Holder {
		c.answered()
		return c.options.LocalCoordinator.Decide(c.options.Now(), charge), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.options.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ChargeQuota{ChargeQuota: encodeCharge(charge)}})
	if err != nil {
		return Grant{}, err
	}
	c.answered()
	return decodeGrant(response.GetQuotaGrant()), nil
}

// answered records that a coordinator has answered.
func (c *Client) answered() { c.answeredAt.Store(int64(c.options.Now())) }

// ErrNotCharge is returned for a call that is not a charge.
var ErrNotCharge = errors.New("quota: not a charge")

// Handle answers the charge of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	body, isCharge := request.GetBody().(*peerpb.Request_ChargeQuota)
	if !isCharge {
		return nil, ErrNotCharge
	}
	grant := c.options.LocalCoordinator.Decide(c.options.Now(), decodeCharge(body.ChargeQuota))
	return &peerpb.Response{Body: &peerpb.Response_QuotaGrant{QuotaGrant: encodeGrant(grant)}}, nil
}
