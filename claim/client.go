package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// callTimeout bounds the wait for a claim shard's owner, and then for the node
// that would follow it. It is above the time an owner takes to give a write up.
const callTimeout = writeTimeout + 200*time.Millisecond

// OwnerCaller calls the owner of a key, or the node that would follow it.
type OwnerCaller interface {
	CallOwnerOrSuccessor(ctx context.Context, key string, timeout time.Duration, build func(try int) *peerpb.Request) (*peerpb.Response, membership.Member, error)
}

// Client makes claims at the owners of their shards.
type Client struct{ owners OwnerCaller }

// NewClient returns a client.
func NewClient(owners OwnerCaller) *Client { return &Client{owners: owners} }

// Claim returns the identity of the claim under which the call may run. Any
// error means that the caller must not run it. Each node that is asked gets an
// identity of its own: one that answers too late must not undo the claim that
// another has made.
func (c *Client) Claim(ctx context.Context, key Key, requestID string, body []byte) (string, error) {
	var claimID string
	_, _, err := c.owners.CallOwnerOrSuccessor(ctx, OwnerKey(key.shard()), callTimeout, func(try int) *peerpb.Request {
		claimID = identity(requestID, try)
		return &peerpb.Request{Body: &peerpb.Request_Claim{Claim: &peerpb.Claim{
			Tenant: key.Tenant, Key: key.ID.String(), BodyDigest: body, ClaimId: claimID,
		}}}
	})
	if err == nil {
		return claimID, nil
	}
	var typed *api.Error
	if errors.As(err, &typed) {
		return "", typed
	}
	// The claim may have been recorded, but this node does not use it.
	return "", ErrUnavailable
}

// Withdraw removes the claim of a call that certainly did not run, so that the
// caller can use the key again.
func (c *Client) Withdraw(ctx context.Context, key Key, claimID string) error {
	_, _, err := c.owners.CallOwnerOrSuccessor(ctx, OwnerKey(key.shard()), callTimeout, func(int) *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_ReleaseClaim{ReleaseClaim: &peerpb.ReleaseClaim{
			Tenant: key.Tenant, Key: key.ID.String(), ClaimId: claimID,
		}}}
	})
	return err
}
