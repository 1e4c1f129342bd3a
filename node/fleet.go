package node

import (
	"context"
	"encoding/json"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

// fleet collects the status and events of all live nodes for the operators' API.
type fleet struct{ core *Core }

// Status implements operator.Fleet.
func (f fleet) Status(ctx context.Context) []json.RawMessage {
	responses := f.core.gather(ctx, func() *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_FetchStatus{FetchStatus: &peerpb.FetchStatus{}}}
	})
	statuses := []json.RawMessage{}
	for _, response := range responses {
		if data := response.GetStatus().GetStatus(); len(data) > 0 {
			statuses = append(statuses, data)
		}
	}
	return statuses
}

// Timeline implements operator.Fleet.
func (f fleet) Timeline(ctx context.Context, filter timeline.Filter) []timeline.Event {
	responses := f.core.gather(ctx, func() *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_FetchTimeline{FetchTimeline: &peerpb.FetchTimeline{
			RequestId: filter.Request, Engine: filter.Engine, Tenant: filter.Tenant,
		}}}
	})
	rings := make([][]timeline.Event, 0, len(responses))
	for _, response := range responses {
		var events []timeline.Event
		if json.Unmarshal(response.GetTimeline().GetEvents(), &events) == nil {
			rings = append(rings, events)
		}
	}
	return timeline.Merge(rings...)
}
