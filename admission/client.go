package admission

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// checkInterval is how often a node checks whether a report is due: well below busyInterval.
	checkInterval = 100 * time.Millisecond
	// reportTimeout bounds one report. A plan that arrives later is replaced by the next one.
	reportTimeout = 300 * time.Millisecond
)

// Client reports a node's counts to the coordinators of the services, and applies their plans.
type Client struct {
	node         *Node
	controller   *Controller
	peers        *peer.Client
	coordinators coordinator.Locator
}

// NewClient returns a client that calls the local controller for the services that this node coordinates.
func NewClient(node *Node, controller *Controller, peers *peer.Client, coordinators coordinator.Locator) *Client {
	return &Client{node: node, controller: controller, peers: peers, coordinators: coordinators}
}

// Run sends reports until the context ends.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, checkInterval, func(ctx context.Context) {
		now := c.node.now()
		interval := func(service string) time.Duration { return c.node.gate.Interval(now, service) }
		for _, report := range c.node.meter.Due(now, interval) {
			go c.report(ctx, report)
		}
	})
}

// report sends one report. A lost report is not resent: the next one replaces it.
func (c *Client) report(ctx context.Context, report Report) {
	address, found := c.coordinators.Coordinator(report.Service)
	if !found {
		return
	}
	if address == c.coordinators.Own() {
		c.node.Put(report.Service, c.controller.HandleReport(c.node.now(), report))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := c.peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ReportLoad{ReportLoad: encodeReport(report)}})
	if err != nil {
		c.coordinators.Missed(address, err)
		return
	}
	c.coordinators.Answered(address)
	if plan := response.GetLoadPlan(); plan != nil {
		c.node.Put(report.Service, decodePlan(plan))
	}
}

// ErrNotReport is returned for a peer request other than a load report.
var ErrNotReport = errors.New("admission: not a report")

// Handle answers the report of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	body, isReport := request.GetBody().(*peerpb.Request_ReportLoad)
	if !isReport {
		return nil, ErrNotReport
	}
	plan := c.controller.HandleReport(c.node.now(), decodeReport(body.ReportLoad))
	return &peerpb.Response{Body: &peerpb.Response_LoadPlan{LoadPlan: encodePlan(plan)}}, nil
}
