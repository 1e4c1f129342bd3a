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
	// lookInterval is how often a node looks whether a report is due: well below busyInterval.
	lookInterval = 100 * time.Millisecond
	// reportTimeout bounds one report. A plan that comes later is replaced by the next one.
	reportTimeout = 300 * time.Millisecond
)

// Client reports what a node saw to the coordinators of the services, and puts their plans in
// force.
type Client struct {
	node         *Node
	controller   *Controller
	peers        *peer.Client
	coordinators coordinator.Choice
}

// NewClient returns a client that asks the local controller where this node coordinates itself.
func NewClient(node *Node, controller *Controller, peers *peer.Client, coordinators coordinator.Choice) *Client {
	return &Client{node: node, controller: controller, peers: peers, coordinators: coordinators}
}

// Run reports until the context ends.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, lookInterval, func(ctx context.Context) {
		now := c.node.now()
		interval := func(service string) time.Duration { return c.node.gate.Interval(now, service) }
		for _, report := range c.node.meter.Due(now, interval) {
			go c.report(ctx, report)
		}
	})
}

// report sends one report. One that is lost is not sent again: the next one says more.
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

// ErrNoPlan is returned for a request that asks for no plan.
var ErrNoPlan = errors.New("admission: not a report")

// Handle answers the report of another node.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	body, isReport := request.GetBody().(*peerpb.Request_ReportLoad)
	if !isReport {
		return nil, ErrNoPlan
	}
	plan := c.controller.HandleReport(c.node.now(), decodeReport(body.ReportLoad))
	return &peerpb.Response{Body: &peerpb.Response_LoadPlan{LoadPlan: encodePlan(plan)}}, nil
}
