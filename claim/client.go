package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// callTimeout bounds the call to a claim shard's owner, and then that to its successor. It is longer than
// writeTimeout, after which an owner gives up a write.
const callTimeout = writeTimeout + 200*time.Millisecond

// OwnerCaller calls the owner of a key, or its successor.
type OwnerCaller interface {
	CallOwnerOrSuccessor(ctx context.Context, key string, timeout time.Duration, build func(attempt int) *peerpb.Request) (*peerpb.Response, membership.Member, error)
}

// Client makes claims at the owners of their shards.
type Client struct{ owners OwnerCaller }

// NewClient returns a client that calls owners.
func NewClient(owners OwnerCaller) *Client { return &Client{owners: owners} }

// Claim returns the identifier of the claim under which the call may run. On any error the caller must not run
// the call. Each owner that is called gets a different claim identifier: an owner that answers too late must
// not undo the claim that another one has made.
func (c *Client) Claim(ctx context.Context, key Key, requestID string, bodyDigest []byte) (string, error) {
	var claimID string
	_, _, err := c.owners.CallOwnerOrSuccessor(ctx, OwnerKey(key.shard()), callTimeout, func(attempt int) *peerpb.Request {
		claimID = attemptID(requestID, attempt)
		return &peerpb.Request{Body: &peerpb.Request_Claim{Claim: &peerpb.Claim{
			Tenant: key.Tenant, Key: key.ID.String(), BodyDigest: bodyDigest, ClaimId: claimID,
		}}}
	})
	if err == nil {
		return claimID, nil
	}
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return "", apiErr
	}
	// The claim may have been recorded, but this node does not run the call under it.
	return "", ErrUnavailable
}

// Withdraw removes the claim of a call that certainly did not run, so that the caller can use the key again.
func (c *Client) Withdraw(ctx context.Context, key Key, claimID string) error {
	_, _, err := c.owners.CallOwnerOrSuccessor(ctx, OwnerKey(key.shard()), callTimeout, func(int) *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_ReleaseClaim{ReleaseClaim: &peerpb.ReleaseClaim{
			Tenant: key.Tenant, Key: key.ID.String(), ClaimId: claimID,
		}}}
	})
	return err
}
