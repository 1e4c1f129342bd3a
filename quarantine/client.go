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
	// answerTimeout is how long the keeper may take for an answer. A request that has broken off
	// waits for it before it is sent anywhere else.
	answerTimeout = 60 * time.Millisecond
	// lookInterval is how often a node looks whether there is another keeper, and tells it what it
	// does not know.
	lookInterval = 250 * time.Millisecond
	// noticeTimeout bounds a call that no request waits for.
	noticeTimeout = 300 * time.Millisecond
)

// Scope is what the keeper is chosen for.
const Scope = "quarantines"

// ClientOptions are the parts of a Client.
type ClientOptions struct {
	Coordinators coordinator.Choice
	Peers        *peer.Client
	// Local is the keeper where this node is chosen for it.
	Local *Coordinator
	// BecameCoordinator is called when this node has been chosen. Default: nothing.
	BecameCoordinator func(ctx context.Context)
	// Now reads a clock that counts on while the machine is suspended.
	Now func() time.Duration
}

// Client is one node's part: what it saw, and what it knows of requests. It is safe for concurrent
// use.
type Client struct {
	options ClientOptions
	// any is set while anything is known of any request.
	any atomic.Bool

	mu sync.Mutex
	// own counts what this node saw, and decides where no keeper answers.
	own *Table
	// evidence is what this node saw, by request; a keeper that is chosen later is told all of it.
	evidence map[Fingerprint][]*ownEvidence
	// answered are the requests whose answer the keeper has not heard of.
	answered []Fingerprint
	// heard is what the keeper said of requests.
	heard map[Fingerprint]heardStanding
	// keeper is the address of the node that was told last.
	keeper string
	// missing is set while this node has not heard all announcements of that keeper.
	missing bool
}

// ownEvidence is evidence of this node, and whether the keeper knows of it.
type ownEvidence struct {
	Evidence
	told bool
}

// heardStanding is a standing as the keeper told it.
type heardStanding struct {
	crashes          int
	quarantinedUntil time.Duration
}

// NewClient returns a client that knows of nothing.
func NewClient(options ClientOptions) *Client {
	if options.BecameCoordinator == nil {
		options.BecameCoordinator = func(context.Context) {}
	}
	client := &Client{options: options, own: NewTable(), evidence: map[Fingerprint][]*ownEvidence{}, heard: map[Fingerprint]heardStanding{}}
	// Evidence goes with its entry in the table: callers with a new body each time would fill the
	// memory otherwise while nobody is chosen to be told.
	client.own.forgotten = func(request Fingerprint) { delete(client.evidence, request) }
	return client
}

// Empty reports that nothing is known of any request, so that no fingerprint need be worked out.
func (c *Client) Empty() bool { return !c.any.Load() }

// Status returns what is known of a request: by this node, or by what it was told.
func (c *Client) Status(request Fingerprint) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standing(request)
}

// standing is Standing with the lock held.
func (c *Client) standing(request Fingerprint) Status {
	now := c.options.Now()
	known, heard := c.own.Status(now, request), c.heard[request]
	return Status{
		Crashes:     max(known.Crashes, heard.crashes),
		Quarantined: max(known.Quarantined, heard.quarantinedUntil-now, 0),
	}
}

// Crashed notes that a life of a back end ended with a request under way, tells the keeper, and
// returns what is known of the request since.
func (c *Client) Crashed(ctx context.Context, request Fingerprint, backend string) Status {
	c.mu.Lock()
	now := c.options.Now()
	added := &ownEvidence{Evidence: Evidence{Request: request, Backend: backend, At: now}}
	c.own.Add(now, request, backend)
	c.evidence[request] = append(c.evidence[request], added)
	c.any.Store(true)
	c.mu.Unlock()
	c.tell(ctx, notice{evidence: []*ownEvidence{added}}, answerTimeout)
	return c.Status(request)
}

// Answered notes that a back end has answered a request to its end: it does not end what runs it.
func (c *Client) Answered(request Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.standing(request).Crashes == 0 {
		return
	}
	c.own.Answered(request)
	delete(c.evidence, request)
	delete(c.heard, request)
	c.noteAnswered(request)
}

// noteAnswered keeps answered requests of which the keeper has not heard, the latest of them; the lock is
// held. A keeper that does not hear of an answer holds the request responsible until its crashes lapse.
func (c *Client) noteAnswered(requests ...Fingerprint) {
	c.answered = append(c.answered, requests...)
	if excess := len(c.answered) - maxRequests; excess > 0 {
		c.answered = slices.Delete(c.answered, 0, excess)
	}
}

// Announced takes note of what the keeper has told all nodes of a request.
func (c *Client) Announced(told Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !told.Status().Suspect() {
		c.own.Answered(told.Request)
		delete(c.heard, told.Request)
		delete(c.evidence, told.Request)
		return
	}
	c.hear(told.Request, told.Status())
}

// hear takes note of a standing; the lock is held.
func (c *Client) hear(request Fingerprint, standing Status) {
	c.heard[request] = heardStanding{crashes: standing.Crashes, quarantinedUntil: c.options.Now() + standing.Quarantined}
	c.any.Store(true)
}

// Run tells the keeper what it does not know, and all that this node saw where there is another
// one, until the context ends.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, lookInterval, func(ctx context.Context) {
		address, _ := c.options.Coordinators.Coordinator(Scope)
		c.expire()
		changed := c.follow(address)
		if address == "" {
			return
		}
		if address == c.options.Coordinators.Own() {
			if changed {
				c.options.BecameCoordinator(ctx)
			}
			c.options.Local.Expire()
		}
		if untold, due := c.untold(); due {
			c.tell(ctx, untold, noticeTimeout)
		}
	})
}

// follow notes who is the keeper. Another one than before has been told nothing.
func (c *Client) follow(address string) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.keeper {
		return false
	}
	c.keeper, c.missing = address, true
	for _, seen := range c.evidence {
		for _, one := range seen {
			one.told = false
		}
	}
	return true
}

// IsCoordinator reports whether this node is the keeper.
func (c *Client) IsCoordinator() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keeper != "" && c.keeper == c.options.Coordinators.Own()
}

// notice is what a node is about to tell the keeper.
type notice struct {
	evidence []*ownEvidence
	answered []Fingerprint
	all      bool
}

// report returns the notice as it is sent.
func (n notice) report() report {
	told := report{answered: n.answered, all: n.all}
	for _, one := range n.evidence {
		told.evidence = append(told.evidence, one.Evidence)
	}
	return told
}

// untold returns what the keeper does not know, and whether there is anything to say.
func (c *Client) untold() (untold notice, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seen := range c.evidence {
		for _, one := range seen {
			if !one.told {
				untold.evidence = append(untold.evidence, one)
			}
		}
	}
	untold.all = c.missing
	untold.answered, c.answered = c.answered, nil
	return untold, untold.all || len(untold.evidence)+len(untold.answered) > 0
}

// expire forgets what no longer counts.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.own.Expire(now)
	for request, heard := range c.heard {
		// The keeper takes it back; this is for the case that nobody could.
		if now >= heard.quarantinedUntil+evidenceLifetime {
			delete(c.heard, request)
		}
	}
	c.any.Store(!c.own.Empty() || len(c.heard) > 0)
}

// tell tells the keeper, this node perhaps, and takes note of what it says. What it does not hear is
// told again.
func (c *Client) tell(ctx context.Context, untold notice, timeout time.Duration) {
	address, found := c.options.Coordinators.Coordinator(Scope)
	if !found {
		c.putBack(untold.answered)
		return
	}
	answer, err := c.send(ctx, address, untold.report(), timeout)
	if err != nil {
		c.putBack(untold.answered)
		if ctx.Err() == nil {
			c.options.Coordinators.Missed(address, err)
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if untold.all && address == c.keeper {
		c.missing = false
	}
	for i, one := range untold.evidence {
		one.told = true
		if i < len(answer.standings) && answer.standings[i].Suspect() {
			c.hear(one.Request, answer.standings[i])
		}
	}
	for _, announcement := range answer.announced {
		c.hear(announcement.Request, announcement.Status())
	}
}

// putBack keeps answered requests of which no keeper has heard.
func (c *Client) putBack(answered []Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteAnswered(answered...)
}

// send sends a report to a keeper, this node perhaps.
func (c *Client) send(ctx context.Context, address string, told report, timeout time.Duration) (reply, error) {
	if address == c.options.Coordinators.Own() {
		return c.options.Local.take(told), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.options.Peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ReportCrashes{
		ReportCrashes: encodeReport(c.options.Now(), told),
	}})
	if err != nil {
		return reply{}, err
	}
	return decodeReply(response.GetCrashStandings()), nil
}

// ErrNoReport is returned for a call that is neither a report nor an announcement.
var ErrNoReport = errors.New("quarantine: not a report")

// Handle answers the report of another node, or takes note of an announcement.
func (c *Client) Handle(request *peerpb.Request) (*peerpb.Response, error) {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_ReportCrashes:
		answer := c.options.Local.take(decodeReport(c.options.Now(), body.ReportCrashes))
		return &peerpb.Response{Body: &peerpb.Response_CrashStandings{CrashStandings: encodeReply(answer)}}, nil
	case *peerpb.Request_AnnounceCrashes:
		told, valid := decodeAnnouncement(body.AnnounceCrashes)
		if !valid {
			return nil, ErrNoReport
		}
		c.Announced(told)
		return &peerpb.Response{Body: &peerpb.Response_Done{Done: &peerpb.Done{}}}, nil
	default:
		return nil, ErrNoReport
	}
}
