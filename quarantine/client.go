package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
)

const (
	// crashTimeout is how long the coordinator may take to respond to the report of a crash. The request whose
	// backend failed waits for the response before it is sent anywhere else.
	crashTimeout = 60 * time.Millisecond
	// checkInterval is how often a node checks for another coordinator, and sends the coordinator what it has not
	// received yet.
	checkInterval = 250 * time.Millisecond
	// reportTimeout bounds a call that no request waits for.
	reportTimeout = 300 * time.Millisecond
)

// Scope selects the coordinator of quarantines in calls of coordinator.Locator.
const Scope = "quarantines"

// ClientOptions configures a Client.
type ClientOptions struct {
	Coordinators coordinator.Locator
	Peers        *peer.Client
	// LocalCoordinator handles reports when this node is the coordinator.
	LocalCoordinator *Coordinator
	// BecameCoordinator is called when this node has been chosen. Default: nothing.
	BecameCoordinator func(ctx context.Context)
	// Now reads a clock that also advances while the machine is suspended.
	Now func() time.Duration
}

// Client holds the crashes that one node saw, and the quarantine status of requests that it received. It is safe
// for concurrent use.
type Client struct {
	options ClientOptions
	// hasRecords is set while any request has a record.
	hasRecords atomic.Bool

	mu sync.Mutex
	// local counts the crashes that this node saw, and decides while no coordinator answers.
	local *Table
	// evidence holds the crashes that this node saw, by request; a coordinator chosen later is sent all of
	// them.
	evidence map[Fingerprint][]*localEvidence
	// answered holds the answered requests that have not been reported to the coordinator.
	answered []Fingerprint
	// received holds the status of requests as the coordinator sent or announced it.
	received map[Fingerprint]receivedStatus
	// nextTrials holds when this node next asks for trials of requests, and endedTrials those that have not been reported.
	nextTrials  map[Fingerprint]nextTrial
	endedTrials []endedTrial
	// parts counts the crashes of parts that this node saw, and decides while no coordinator counts them. It also holds the
	// answers that this node saw.
	parts *partTable
	// groups are the groups of parts that the coordinator has announced, by name.
	groups map[Fingerprint]receivedGroup
	// answeredParts are the suspected parts whose answers have not been reported to the coordinator.
	answeredParts map[Part]time.Duration
	// reportedParts are the parts that this node has reported as present at a crash, and not as answered since.
	reportedParts map[Part]bool
	// partsCoordinated is set while a coordinator that counts the crashes of parts answers.
	partsCoordinated bool
	// coordinator is the address of the coordinator at the last check.
	coordinator string
	// needsAll is set while this node has not received all announcements of that coordinator.
	needsAll bool
}

// localEvidence is evidence of this node, and whether the coordinator has it.
type localEvidence struct {
	Evidence
	reported bool
}

// receivedStatus is a quarantine status as the coordinator sent or announced it.
type receivedStatus struct {
	crashes          int
	quarantinedUntil time.Duration
}

// NewClient returns a client without records.
func NewClient(options ClientOptions) *Client {
	if options.BecameCoordinator == nil {
		options.BecameCoordinator = func(context.Context) {}
	}
	client := &Client{
		options: options, local: NewTable(), evidence: map[Fingerprint][]*localEvidence{}, received: map[Fingerprint]receivedStatus{},
		nextTrials: map[Fingerprint]nextTrial{}, parts: newPartTable(), groups: map[Fingerprint]receivedGroup{},
		answeredParts: map[Part]time.Duration{}, reportedParts: map[Part]bool{},
	}
	// Evidence is removed with its entry in the table: otherwise callers with a new body each time would fill
	// the memory while no coordinator is chosen.
	client.local.onForget = func(request Fingerprint) { delete(client.evidence, request) }
	return client
}

// Empty reports that there is no record of any request, so that no fingerprint need be computed.
func (c *Client) Empty() bool { return !c.hasRecords.Load() }

// Status returns the quarantine status of a request, from this node's records and those received.
func (c *Client) Status(request Subject) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return worse(c.contentStatus(request.Content), c.partStatus(request.Parts))
}

// contentStatus returns the status of a request by its content; the lock is held.
func (c *Client) contentStatus(request Fingerprint) Status {
	now := c.options.Now()
	local, received := c.local.Status(now, request), c.received[request]
	return Status{
		Crashes:     max(local.Crashes, received.crashes),
		Quarantined: max(local.Quarantined, received.quarantinedUntil-now, 0),
		Record:      request,
	}
}

// Crashed records that a backend ended with a request in flight, reports it to the coordinator, and returns the request's
// status.
func (c *Client) Crashed(ctx context.Context, crash Crash) Status {
	c.mu.Lock()
	now := c.options.Now()
	request, backend := crash.Request.Content, crash.Backend
	added := &localEvidence{Evidence: Evidence{
		Request: request, Backend: backend, At: now, Parts: c.unansweredParts(now, crash.Request.Parts), Written: crash.Written,
		Run: span{now - crash.Ago - crash.RanFor, now - crash.Ago},
	}}
	c.local.AddRun(now, request, backend, added.Run)
	c.parts.add(now, backend, request, added.Parts, added.Written)
	c.noteReported(added.Parts)
	c.evidence[request] = append(c.evidence[request], added)
	c.hasRecords.Store(true)
	c.mu.Unlock()
	_, _ = c.deliver(ctx, pendingReport{evidence: []*localEvidence{added}}, crashTimeout) // What fails is sent again.
	return c.Status(crash.Request)
}

// Answered records that a backend has answered a request to its end: the request does not crash every backend that
// runs it.
func (c *Client) Answered(answered Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsAnswered(answered.Parts)
	request := answered.Content
	if c.contentStatus(request).Crashes == 0 {
		return
	}
	c.local.Answered(request)
	delete(c.evidence, request)
	delete(c.received, request)
	c.queueAnswered(request)
}

// queueAnswered queues answered requests for the coordinator and keeps the latest of them; the lock is held. If
// one is not reported, the coordinator counts the request's crashes until they expire.
func (c *Client) queueAnswered(requests ...Fingerprint) {
	c.answered = append(c.answered, requests...)
	if excess := len(c.answered) - maxRequests; excess > 0 {
		c.answered = slices.Delete(c.answered, 0, excess)
	}
}

// Announced applies an announcement that the coordinator sent to all nodes.
func (c *Client) Announced(announcement Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(announcement.Parts) > 0 {
		c.receiveGroup(announcement)
		return
	}
	if !announcement.Status().Suspect() {
		delete(c.groups, announcement.Request)
		c.local.Answered(announcement.Request)
		delete(c.received, announcement.Request)
		delete(c.evidence, announcement.Request)
		return
	}
	c.receive(announcement.Request, announcement.Status())
}

// receive stores a received status; the lock is held.
func (c *Client) receive(request Fingerprint, status Status) {
	c.received[request] = receivedStatus{crashes: status.Crashes, quarantinedUntil: c.options.Now() + status.Quarantined}
	c.hasRecords.Store(true)
}

// Run sends the coordinator what it has not received yet, and sends all evidence of this node to each new
// coordinator, until the context ends.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, checkInterval, func(ctx context.Context) {
		address, _ := c.options.Coordinators.Coordinator(Scope)
		c.expire()
		changed := c.setCoordinator(address)
		if address == "" {
			return
		}
		if address == c.options.Coordinators.Own() {
			if changed {
				c.options.BecameCoordinator(ctx)
			}
			c.options.LocalCoordinator.Expire()
		}
		if unreported, due := c.unreported(); due {
			_, _ = c.deliver(ctx, unreported, reportTimeout) // What fails is sent again.
		}
	})
}

// setCoordinator records the coordinator's address. If that is a new one, all evidence is due to be sent again.
func (c *Client) setCoordinator(address string) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.coordinator {
		return false
	}
	c.coordinator, c.needsAll = address, true
	for _, crashes := range c.evidence {
		for _, crash := range crashes {
			crash.reported = false
		}
	}
	return true
}

// IsCoordinator reports whether this node is the coordinator.
func (c *Client) IsCoordinator() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coordinator != "" && c.coordinator == c.options.Coordinators.Own()
}

// pendingReport is what a node is about to report to the coordinator.
type pendingReport struct {
	evidence []*localEvidence
	answered []Fingerprint
	// answeredParts are suspected parts that have been answered.
	answeredParts []answeredPart
	// trials are requests that are to run as a trial, endedTrials trials that have ended.
	trials      []Fingerprint
	endedTrials []endedTrial
	all         bool
}

// report returns the report in the form that is sent.
func (p pendingReport) report() report {
	reported := report{answered: p.answered, answeredParts: p.answeredParts, trials: p.trials, endedTrials: p.endedTrials, all: p.all}
	for _, crash := range p.evidence {
		reported.evidence = append(reported.evidence, crash.Evidence)
	}
	return reported
}

// unreported returns what the coordinator has not been sent, and whether there is anything to send.
func (c *Client) unreported() (unreported pendingReport, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crashes := range c.evidence {
		unreported.evidence = append(unreported.evidence, unreportedOf(crashes)...)
	}
	unreported.all = c.needsAll
	unreported.answered, c.answered = c.answered, nil
	for part, at := range c.answeredParts {
		unreported.answeredParts = append(unreported.answeredParts, answeredPart{part, at})
	}
	clear(c.answeredParts)
	unreported.endedTrials, c.endedTrials = c.endedTrials, nil
	changes := len(unreported.evidence) + len(unreported.answered) + len(unreported.answeredParts) + len(unreported.endedTrials)
	return unreported, unreported.all || changes > 0
}

// unreportedOf returns the evidence that the coordinator has not received.
func unreportedOf(crashes []*localEvidence) []*localEvidence {
	var unreported []*localEvidence
	for _, crash := range crashes {
		if !crash.reported {
			unreported = append(unreported, crash)
		}
	}
	return unreported
}

// expire removes expired crashes and received statuses.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.local.Expire(now)
	for request, received := range c.received {
		// The coordinator usually revokes its announcement. This covers the case that no coordinator was able to.
		if now >= received.quarantinedUntil+evidenceLifetime {
			delete(c.received, request)
		}
	}
	c.expireGroups(now)
	c.expireTrials(now)
	c.parts.evaluate(now)
	c.hasRecords.Store(!c.local.Empty() || len(c.received) > 0 || !c.parts.isEmpty() || len(c.groups) > 0)
}

// errNoCoordinator is returned while no coordinator has been chosen.
var errNoCoordinator = errors.New("quarantine: no coordinator")

// deliver sends a report to the coordinator, possibly this node, and applies the response, which it returns. What was not delivered
// is sent again, except for requests for trials.
func (c *Client) deliver(ctx context.Context, unreported pendingReport, timeout time.Duration) (reportResponse, error) {
	address, found := c.options.Coordinators.Coordinator(Scope)
	if !found {
		c.requeueAnswered(unreported)
		return reportResponse{}, errNoCoordinator
	}
	response, err := c.send(ctx, address, unreported.report(), timeout)
	if err != nil {
		c.requeueAnswered(unreported)
		if ctx.Err() == nil {
			c.options.Coordinators.Missed(address, err)
		}
		return reportResponse{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsCoordinated = response.countsParts
	if unreported.all && address == c.coordinator {
		c.needsAll = false
	}
	for i, crash := range unreported.evidence {
		crash.reported = true
		if i < len(response.statuses) && response.statuses[i].Suspect() {
			c.receive(crash.Request, response.statuses[i])
		}
	}
	for _, announcement := range response.announced {
		if len(announcement.Parts) > 0 {
			c.receiveGroup(announcement)
			continue
		}
		c.receive(announcement.Request, announcement.Status())
	}
	return response, nil
}

// requeueAnswered queues what no coordinator has received of a report.
func (c *Client) requeueAnswered(unreported pendingReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partsCoordinated = false
	c.queueAnswered(unreported.answered...)
	for _, answered := range unreported.answeredParts {
		c.queueAnsweredPart(answered)
	}
	c.queueEndedTrials(unreported.endedTrials...)
}

// send sends a report to a coordinator, possibly this node.
func (c *Client) send(ctx context.Context, address string, reported report, timeout time.Duration) (reportResponse, error) {
	if address == c.options.Coordinators.Own() {
		return c.options.LocalCoordinator.handle(reported), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.options.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ReportCrashes{
		ReportCrashes: encodeReport(c.options.Now(), reported),
	}})
	if err != nil {
		return reportResponse{}, err
	}
	return decodeReportResponse(response.GetCrashStandings()), nil
}

// ErrNotReport is returned for a call that is neither a report nor an announcement.
var ErrNotReport = errors.New("quarantine: not a report")

// Handle answers the report of another node, or applies an announcement.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_ReportCrashes:
		response := c.options.LocalCoordinator.handle(decodeReport(c.options.Now(), body.ReportCrashes))
		return &peerpb.Response{Body: &peerpb.Response_CrashStandings{CrashStandings: encodeReportResponse(response)}}, nil
	case *peerpb.Request_AnnounceCrashes:
		announcement, valid := decodeAnnouncement(body.AnnounceCrashes)
		if !valid {
			return nil, ErrNotReport
		}
		c.Announced(announcement)
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	default:
		return nil, ErrNotReport
	}
}
