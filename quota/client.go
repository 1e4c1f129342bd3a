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
	// answerTimeout is how long the coordinator may take for an answer. A request waits for it
	// before anything else is done, and its node decides alone after it.
	answerTimeout = 60 * time.Millisecond
	// noticeTimeout bounds a call that no request waits for.
	noticeTimeout = 300 * time.Millisecond
	// lookInterval is how often a node looks whether there is another coordinator.
	lookInterval = 100 * time.Millisecond
	// presenceInterval is how often a node calls its coordinator at least.
	presenceInterval = 500 * time.Millisecond
)

// Scope is what the coordinator of quotas is chosen for.
const Scope = "quotas"

// ClientOptions are the parts of a Client.
type ClientOptions struct {
	Coordinators coordinator.Choice
	Peers        *peer.Client
	// Local decides where this node is the coordinator.
	Local *Coordinator
	// Alone decides where none answers.
	Alone *Alone
	// Limited reports whether any tenant has a limit: without one nothing is said.
	Limited func() bool
	// Now reads a monotonic clock.
	Now func() time.Duration
}

// Client charges requests of this node. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	// coordinator is the address of the coordinator as of the last look; empty for none.
	coordinator atomic.Pointer[string]
	// answeredAt is when a coordinator last answered, by the clock of the options.
	answeredAt atomic.Int64
	// recent is what that coordinator, or one before it, granted of late.
	recent recentUse
}

// NewClient returns a client that decides alone until Run has found a coordinator.
func NewClient(options ClientOptions) *Client {
	client := &Client{options: options}
	client.coordinator.Store(new(string))
	return client
}

// Source is who decided on a charge.
type Source string

// The sources.
const (
	SourceCoordinator Source = "coordinator"
	SourceAlone       Source = "alone"
)

// Decision is whether a request may be served, and by whose word.
type Decision struct {
	Grant
	Source Source
}

// Charge decides on a request of a tenant that costs so many units.
func (c *Client) Charge(ctx context.Context, charged *tenant.Tenant, units float64) Decision {
	address := *c.coordinator.Load()
	if address != "" {
		uses := c.options.Alone.TakeUnreported(charged.Name)
		grant, err := c.take(ctx, address, Charge{Tenant: charged.Name, Units: units, Uses: uses}, answerTimeout)
		if err == nil && grant.Known {
			if grant.Granted {
				c.recent.add(c.options.Now(), charged.Name, units)
			}
			return Decision{Grant: grant, Source: SourceCoordinator}
		}
		c.options.Alone.PutBack(uses)
		if err != nil && ctx.Err() == nil {
			c.options.Coordinators.Missed(address, err)
		}
	}
	now := c.options.Now()
	grant := c.options.Alone.Take(now, charged, units, now-time.Duration(c.answeredAt.Load()))
	return Decision{Grant: grant, Source: SourceAlone}
}

// Refund returns the units of a request that did not run. It does not wait for the answer; what
// is not heard is reported with a later charge.
func (c *Client) Refund(charged *tenant.Tenant, units float64) {
	c.options.Alone.Note(charged.Name, -units)
	c.recent.add(c.options.Now(), charged.Name, -units)
	if address := *c.coordinator.Load(); address != "" {
		go c.report(context.Background(), address, c.options.Alone.TakeUnreported(charged.Name))
	}
}

// report tells a coordinator that this node belongs to it, and what it does not know of.
func (c *Client) report(ctx context.Context, address string, uses []Use) {
	if _, err := c.take(ctx, address, Charge{Uses: uses}, noticeTimeout); err != nil {
		c.options.Alone.PutBack(uses)
		c.options.Coordinators.Missed(address, err)
	}
}

// Run looks for the coordinator, and says that this node belongs to it, until the context ends.
func (c *Client) Run(ctx context.Context) {
	grantedBy := ""
	periodic.Run(ctx, lookInterval, func(ctx context.Context) {
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
		uses := c.options.Alone.TakeAllUnreported()
		if address != grantedBy && grantedBy != "" {
			uses = append(uses, c.recent.take(now)...)
		}
		c.recent.forget(now)
		grantedBy = address
		go c.report(ctx, address, uses)
	})
}

// take sends a charge to a coordinator, this node perhaps.
func (c *Client) take(ctx context.Context, address string, charge Charge, timeout time.Duration) (Grant, error) {
	charge.Holder = c.options.Coordinators.Own()
	if address == charge.Holder {
		c.answered()
		return c.options.Local.Take(c.options.Now(), charge), nil
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

// answered notes that a coordinator has answered.
func (c *Client) answered() { c.answeredAt.Store(int64(c.options.Now())) }

// ErrNoCharge is returned for a call that is not a charge.
var ErrNoCharge = errors.New("quota: not a charge")

// Handle answers the charge of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	body, isCharge := request.GetBody().(*peerpb.Request_ChargeQuota)
	if !isCharge {
		return nil, ErrNoCharge
	}
	grant := c.options.Local.Take(c.options.Now(), decodeCharge(body.ChargeQuota))
	return &peerpb.Response{Body: &peerpb.Response_QuotaGrant{QuotaGrant: encodeGrant(grant)}}, nil
}
