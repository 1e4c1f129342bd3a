package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/membership"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// doneResponse returns a new response each time, since the server writes a timestamp into it.
func doneResponse() *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}
}

// handle serves calls of other nodes and of the node to itself.
func (c *Core) handle(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Heartbeat:
		return &peerpb.Response{Body: &peerpb.Response_Heartbeat{Heartbeat: c.members.HandleHeartbeat(ctx, body.Heartbeat)}}, nil
	case *peerpb.Request_FetchZone:
		return &peerpb.Response{Body: &peerpb.Response_ZoneView{ZoneView: c.members.HandleFetchZone(body.FetchZone)}}, nil
	case *peerpb.Request_FetchHead:
		return c.handleFetchHead(body.FetchHead)
	case *peerpb.Request_FetchPart:
		return c.handleFetchPart(body.FetchPart)
	case *peerpb.Request_FetchTimeline:
		return c.handleFetchTimeline(body.FetchTimeline)
	case *peerpb.Request_FetchStatus:
		data, err := c.Status()
		return &peerpb.Response{Body: &peerpb.Response_Status{Status: &peerpb.StatusReport{Status: data}}}, err
	default:
		return c.handleRequestCall(ctx, request)
	}
}

// handleRequestCall serves the calls that concern callers' requests.
func (c *Core) handleRequestCall(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Grant:
		return grantedResponse(c.Owner.HandleGrant(ctx, body.Grant))
	case *peerpb.Request_Progress:
		return grantedResponse(c.Owner.HandleProgress(ctx, body.Progress))
	case *peerpb.Request_Release:
		c.Owner.HandleRelease(body.Release)
		return doneResponse(), nil
	case *peerpb.Request_Restore:
		return doneResponse(), c.Owner.HandleRestore(ctx, body.Restore)
	case *peerpb.Request_Register:
		return registeredResponse(c.directory.Register(body.Register))
	case *peerpb.Request_Yield:
		return registeredResponse(c.Completions.HandleYield(ctx, body.Yield))
	case *peerpb.Request_Claim:
		return c.handleClaim(ctx, body.Claim)
	case *peerpb.Request_ReportCrashes, *peerpb.Request_AnnounceCrashes:
		return c.quarantines.Handle(request)
	case *peerpb.Request_ReleaseClaim:
		return c.handleReleaseClaim(ctx, body.ReleaseClaim)
	default:
		return nil, peer.ErrUnknownCall
	}
}

func grantedResponse(result *peerpb.Granted, err error) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Granted{Granted: result}}, err
}

func registeredResponse(result *peerpb.Registered, err error) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Registered{Registered: result}}, err
}

func contentResponse(data []byte) *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Content{Content: &peerpb.Content{Data: data}}}
}

func (c *Core) handleFetchHead(fetch *peerpb.FetchHead) (*peerpb.Response, error) {
	var data []byte
	var err error
	if fetch.GetMachines() {
		data, err = json.Marshal(c.Machines.View())
	} else {
		data, err = configuration.EncodeHead(c.Configuration.Current().Head)
	}
	return contentResponse(data), errors.Wrap(err, "encode head")
}

func (c *Core) handleFetchPart(fetch *peerpb.FetchPart) (*peerpb.Response, error) {
	data, ok := c.Configuration.Part(fetch.GetDigest())
	if !ok {
		return nil, configuration.ErrNoPart
	}
	return contentResponse(data), nil
}

func (c *Core) handleFetchTimeline(fetch *peerpb.FetchTimeline) (*peerpb.Response, error) {
	events := c.Events.Events(timeline.Filter{Request: fetch.GetRequestId(), Engine: fetch.GetEngine(), Tenant: fetch.GetTenant()})
	data, err := json.Marshal(events)
	return &peerpb.Response{Body: &peerpb.Response_Timeline{Timeline: &peerpb.Timeline{Events: data}}}, errors.Wrap(err, "encode events")
}

func (c *Core) handleClaim(ctx context.Context, request *peerpb.Claim) (*peerpb.Response, error) {
	key, err := claim.ParseKey(request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return doneResponse(), c.claimWriter.Claim(ctx, key, request.GetClaimId(), request.GetBodyDigest())
}

func (c *Core) handleReleaseClaim(ctx context.Context, request *peerpb.ReleaseClaim) (*peerpb.Response, error) {
	key, err := claim.ParseKey(request.GetTenant(), request.GetKey())
	if err != nil {
		return nil, err
	}
	return doneResponse(), c.claimWriter.Withdraw(ctx, key, request.GetClaimId())
}

// gatherTimeout bounds a call to all nodes.
const gatherTimeout = 3 * time.Second

// gather calls every live node. The response is nil for a node whose call failed.
func (c *Core) gather(ctx context.Context, request func() *peerpb.Request) []*peerpb.Response {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	members := c.Cluster.Live()
	responses := make([]*peerpb.Response, len(members))
	var calls sync.WaitGroup
	for i, member := range members {
		calls.Add(1)
		go func() {
			defer calls.Done()
			responses[i] = c.callMember(ctx, member, request())
		}()
	}
	calls.Wait()
	return responses
}

func (c *Core) callMember(ctx context.Context, member membership.Member, request *peerpb.Request) *peerpb.Response {
	response, err := c.Cluster.Call(ctx, member, request)
	if err != nil {
		c.Metrics.Add("gather_errors", 1)
		return nil
	}
	return response
}
