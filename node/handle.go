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

// doneResponse returns a fresh response, since the server stamps it.
func doneResponse() *peerpb.Response {
	return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}
}

// handle answers the calls of other nodes, and those of the node to itself.
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
		return c.handleWork(ctx, request)
	}
}

// handleWork answers the calls that belong to requests.
func (c *Core) handleWork(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Grant:
		return granted(c.Owner.HandleGrant(ctx, body.Grant))
	case *peerpb.Request_Progress:
		return granted(c.Owner.HandleProgress(ctx, body.Progress))
	case *peerpb.Request_Release:
		c.Owner.HandleRelease(body.Release)
		return doneResponse(), nil
	case *peerpb.Request_Restore:
		return doneResponse(), c.Owner.HandleRestore(ctx, body.Restore)
	case *peerpb.Request_Register:
		return registered(c.directory.Register(body.Register))
	case *peerpb.Request_Yield:
		return registered(c.Completions.HandleYield(ctx, body.Yield))
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

func granted(result *peerpb.Granted, err error) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Granted{Granted: result}}, err
}

func registered(result *peerpb.Registered, err error) (*peerpb.Response, error) {
	return &peerpb.Response{Body: &peerpb.Response_Registered{Registered: result}}, err
}

func content(data []byte) *peerpb.Response {
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
	return content(data), errors.Wrap(err, "encode head")
}

func (c *Core) handleFetchPart(fetch *peerpb.FetchPart) (*peerpb.Response, error) {
	data, ok := c.Configuration.Part(fetch.GetDigest())
	if !ok {
		return nil, configuration.ErrNoPart
	}
	return content(data), nil
}

func (c *Core) handleFetchTimeline(fetch *peerpb.FetchTimeline) (*peerpb.Response, error) {
	events := c.Events.Events(timeline.Filter{Request: fetch.GetRequestId(), Engine: fetch.GetEngine(), Tenant: fetch.GetTenant()})
	data, err := json.Marshal(events)
	return &peerpb.Response{Body: &peerpb.Response_Timeline{Timeline: &peerpb.Timeline{Events: data}}}, errors.Wrap(err, "encode events")
}

func (c *Core) handleClaim(ctx context.Context, asked *peerpb.Claim) (*peerpb.Response, error) {
	key, err := claim.ParseKey(asked.GetTenant(), asked.GetKey())
	if err != nil {
		return nil, err
	}
	return doneResponse(), c.claimWriter.Claim(ctx, key, asked.GetClaimId(), asked.GetBodyDigest())
}

func (c *Core) handleReleaseClaim(ctx context.Context, asked *peerpb.ReleaseClaim) (*peerpb.Response, error) {
	key, err := claim.ParseKey(asked.GetTenant(), asked.GetKey())
	if err != nil {
		return nil, err
	}
	return doneResponse(), c.claimWriter.Withdraw(ctx, key, asked.GetClaimId())
}

// gatherTimeout bounds a question to all nodes.
const gatherTimeout = 3 * time.Second

// gather asks every live node and returns the answers that came.
func (c *Core) gather(ctx context.Context, request func() *peerpb.Request) []*peerpb.Response {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	members := c.Cluster.Live()
	responses := make([]*peerpb.Response, len(members))
	var asked sync.WaitGroup
	for i, member := range members {
		asked.Add(1)
		go func() {
			defer asked.Done()
			responses[i] = c.askMember(ctx, member, request())
		}()
	}
	asked.Wait()
	return responses
}

func (c *Core) askMember(ctx context.Context, member membership.Member, request *peerpb.Request) *peerpb.Response {
	response, err := c.Cluster.Call(ctx, member, request)
	if err != nil {
		c.Metrics.Add("gather_errors", 1)
		return nil
	}
	return response
}
