package backendlimit

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// chargeTimeout is how long the coordinator may take to respond. A request waits for the response, and its node
// decides locally after the timeout.
const chargeTimeout = 60 * time.Millisecond

// Scope selects the coordinator of the limits in calls of coordinator.Locator.
const Scope = "backend-limits"

// ClientOptions configures a Client.
type ClientOptions struct {
	Coordinators coordinator.Locator
	Peers        *peer.Client
	// LocalCoordinator decides when this node is the coordinator.
	LocalCoordinator *Coordinator
	// LocalLimiter decides when no coordinator answers.
	LocalLimiter *LocalLimiter
	// Now reads a monotonic clock.
	Now func() time.Duration
}

// Client charges the calls of this node. It is safe for concurrent use.
type Client struct{ options ClientOptions }

// NewClient returns a client.
func NewClient(options ClientOptions) *Client { return &Client{options: options} }

// Source is what decided on a charge.
type Source string

// Sources of a decision.
const (
	SourceCoordinator Source = "coordinator"
	SourceLocal       Source = "local"
)

// Decision is whether a call may be made, and what decided it.
type Decision struct {
	Grant
	Source Source
}

// Charge decides on a call.
func (c *Client) Charge(ctx context.Context, charge Charge) Decision {
	if address, found := c.options.Coordinators.Coordinator(Scope); found {
		grant, err := c.send(ctx, address, charge)
		if err == nil {
			c.options.LocalLimiter.Reset(c.options.Now(), charge.Backend)
			return Decision{Grant: grant, Source: SourceCoordinator}
		}
		if ctx.Err() == nil {
			c.options.Coordinators.Missed(address, err)
		}
	}
	return Decision{Grant: c.options.LocalLimiter.Decide(c.options.Now(), charge), Source: SourceLocal}
}

// send sends a charge to a coordinator, possibly this node.
func (c *Client) send(ctx context.Context, address string, charge Charge) (Grant, error) {
	if address == c.options.Coordinators.Own() {
		return c.options.LocalCoordinator.Decide(c.options.Now(), charge), nil
	}
	ctx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	response, err := c.options.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ChargeBackend{ChargeBackend: encodeCharge(charge)}})
	if err != nil {
		return Grant{}, err
	}
	return decodeGrant(response.GetBackendGrant()), nil
}

// ErrNotCharge is returned for a call that is not a charge.
var ErrNotCharge = errors.New("backendlimit: not a charge")

// Handle answers the charge of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	body, isCharge := request.GetBody().(*peerpb.Request_ChargeBackend)
	if !isCharge {
		return nil, ErrNotCharge
	}
	grant := c.options.LocalCoordinator.Decide(c.options.Now(), decodeCharge(body.ChargeBackend))
	return &peerpb.Response{Body: &peerpb.Response_BackendGrant{BackendGrant: encodeGrant(grant)}}, nil
}
