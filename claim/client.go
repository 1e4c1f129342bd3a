package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// callTimeout bounds the wait for a claim shard's owner.
const callTimeout = 2 * time.Second

// OwnerCaller calls the owner of a key.
type OwnerCaller interface {
	CallOwner(ctx context.Context, zone, key string, request *peerpb.Request) (*peerpb.Response, error)
}

// Client makes claims at the owners of their shards.
type Client struct{ owners OwnerCaller }

// NewClient returns a client.
func NewClient(owners OwnerCaller) *Client { return &Client{owners: owners} }

// Claim returns nil if the call may run under claimID. Any error means that the
// caller must not run it.
func (c *Client) Claim(ctx context.Context, key Key, claimID string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_Claim{Claim: &peerpb.Claim{
		Tenant: key.Tenant, Key: key.ID.String(), BodyDigest: body, ClaimId: claimID,
	}}}
	_, err := c.owners.CallOwner(ctx, "", OwnerKey(key.shard()), request)
	if err == nil {
		return nil
	}
	var typed *api.Error
	if errors.As(err, &typed) {
		return typed
	}
	// The claim may have been recorded, but this node does not use it.
	return ErrUnavailable
}

// Withdraw removes the claim of a call that certainly did not run, so that the
// caller can use the key again.
func (c *Client) Withdraw(ctx context.Context, key Key, claimID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &peerpb.Request{Body: &peerpb.Request_ReleaseClaim{ReleaseClaim: &peerpb.ReleaseClaim{
		Tenant: key.Tenant, Key: key.ID.String(), ClaimId: claimID,
	}}}
	_, err := c.owners.CallOwner(ctx, "", OwnerKey(key.shard()), request)
	return err
}
