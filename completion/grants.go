package completion

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/cluster"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/tasks"
)

// releaseTimeout bounds the release of a grant. If a release is lost, the owner's
// inspection of the engines makes up for it.
const releaseTimeout = 2 * time.Second

// grant is the permission of a pool's owner to run an attempt at its engines.
type grant struct {
	request *peerpb.Grant
	zone    string

	mu      sync.Mutex
	granted *peerpb.Granted
	// owner is the name of the pool's owner that granted, or to which the grant was
	// last reported.
	owner string
}

func (g *grant) prefillEngine() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.granted.GetPrefillEngine()
}

// grants requests grants from the owners of pools, and reports the grants that the
// node holds to new owners. It is safe for concurrent use.
type grants struct {
	cluster *cluster.Cluster
	metrics *metrics.Set

	// ctx ends with the service.
	ctx     context.Context
	running tasks.Group

	mu   sync.Mutex
	held map[*grant]struct{}
}

func newGrants(ctx context.Context, fleet *cluster.Cluster, set *metrics.Set) *grants {
	return &grants{ctx: ctx, cluster: fleet, metrics: set, held: map[*grant]struct{}{}}
}

// requestGrant requests a grant from the owner of the pool and waits for a prefill
// engine.
func (g *grants) requestGrant(ctx context.Context, pool *api.Pool, request *peerpb.Grant) (*grant, error) {
	request.Pool = pool.Name
	node, err := g.cluster.Owner(pool.Zone, owner.Key(pool.Name))
	if err != nil {
		return nil, err
	}
	g.metrics.Add("grant_calls", 1)
	response, err := g.cluster.Call(ctx, node, &peerpb.Request{Body: &peerpb.Request_Grant{Grant: request}})
	requested := &grant{request: request, zone: pool.Zone, owner: node.Name}
	if err != nil {
		// The owner may have granted although the response was lost.
		g.release(requested, -1, "")
		return nil, err
	}
	requested.granted = response.GetGranted()
	g.hold(requested)
	return requested, nil
}

func (g *grants) hold(heldGrant *grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[heldGrant] = struct{}{}
}

// adopt registers a grant that another node held, with this node as its holder.
func (g *grants) adopt(ctx context.Context, pool *api.Pool, request *peerpb.Grant, granted *peerpb.Granted) *grant {
	request.Pool = pool.Name
	adopted := &grant{request: request, zone: pool.Zone, granted: granted}
	g.hold(adopted)
	g.restore(ctx, adopted)
	return adopted
}

// decodeEngine reports the end of the prefill, or the failure of a decode engine,
// and waits for a decode engine.
func (g *grants) decodeEngine(ctx context.Context, heldGrant *grant, failedEngine string) (string, error) {
	request := &peerpb.Request{Body: &peerpb.Request_Progress{Progress: &peerpb.Progress{
		Pool: heldGrant.request.GetPool(), RequestId: heldGrant.request.GetRequestId(), Attempt: heldGrant.request.GetAttempt(), FailedEngine: failedEngine,
	}}}
	response, err := g.cluster.CallOwner(ctx, heldGrant.zone, owner.Key(heldGrant.request.GetPool()), request)
	if api.IsCode(err, api.CodeNotFound) || api.IsCode(err, api.CodeUnavailable) {
		// Another node owns the pool now and has no record of the grant yet.
		g.restore(ctx, heldGrant)
		response, err = g.cluster.CallOwner(ctx, heldGrant.zone, owner.Key(heldGrant.request.GetPool()), request)
	}
	if err != nil {
		return "", err
	}
	decode := response.GetGranted().GetDecodeEngine()
	heldGrant.mu.Lock()
	defer heldGrant.mu.Unlock()
	heldGrant.granted = &peerpb.Granted{PrefillEngine: heldGrant.granted.GetPrefillEngine(), DecodeEngine: decode, Epoch: heldGrant.granted.GetEpoch()}
	return decode, nil
}

// release releases a grant. It does not wait for the owner.
func (g *grants) release(heldGrant *grant, outputTokens int, failedEngine string) {
	g.forget(heldGrant)
	request := &peerpb.Request{Body: &peerpb.Request_Release{Release: &peerpb.Release{
		Pool: heldGrant.request.GetPool(), RequestId: heldGrant.request.GetRequestId(), Attempt: heldGrant.request.GetAttempt(),
		OutputTokens: int32(outputTokens), FailedEngine: failedEngine,
	}}}
	g.running.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, releaseTimeout)
		defer cancel()
		if _, err := g.cluster.CallOwner(ctx, heldGrant.zone, owner.Key(heldGrant.request.GetPool()), request); err != nil {
			g.metrics.Add("release_errors", 1)
		}
	})
}

// forget removes a grant that another node has adopted.
func (g *grants) forget(heldGrant *grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, heldGrant)
}

// restore reports a grant to the current owner of the pool.
func (g *grants) restore(ctx context.Context, heldGrant *grant) {
	node, err := g.cluster.Owner(heldGrant.zone, owner.Key(heldGrant.request.GetPool()))
	if err != nil {
		return
	}
	heldGrant.mu.Lock()
	granted := heldGrant.granted
	heldGrant.mu.Unlock()
	request := &peerpb.Request{Body: &peerpb.Request_Restore{Restore: &peerpb.Restore{Grant: heldGrant.request, Granted: granted}}}
	if _, err := g.cluster.Call(ctx, node, request); err != nil {
		g.metrics.Add("restore_errors", 1)
		return
	}
	heldGrant.mu.Lock()
	heldGrant.owner = node.Name
	heldGrant.mu.Unlock()
}

// reconcile reports the grants that the node holds to new owners.
func (g *grants) reconcile(ctx context.Context) {
	g.mu.Lock()
	all := make([]*grant, 0, len(g.held))
	for heldGrant := range g.held {
		all = append(all, heldGrant)
	}
	g.mu.Unlock()
	for _, heldGrant := range all {
		node, err := g.cluster.Owner(heldGrant.zone, owner.Key(heldGrant.request.GetPool()))
		heldGrant.mu.Lock()
		recordedBy := heldGrant.owner
		heldGrant.mu.Unlock()
		if err == nil && node.Name != recordedBy {
			g.restore(ctx, heldGrant)
		}
	}
}

// count returns the number of grants held.
func (g *grants) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held)
}
