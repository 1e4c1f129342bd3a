package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/placement"
)

const (
	// firstResponseTimeout bounds the wait for a coordinator's first response to a request.
	firstResponseTimeout = 60 * time.Millisecond
	// coordinatorCheckInterval is how often a node checks whether the coordinator of a service has
	// changed.
	coordinatorCheckInterval = 100 * time.Millisecond
	// syncInterval is how often a node sends all its runs to a coordinator.
	syncInterval = time.Second
	// reportTimeout bounds the calls that report ends of runs, finished prefills and failures, and
	// syncs.
	reportTimeout = 300 * time.Millisecond
	// missLimit is the number of consecutive unanswered calls after which a coordinator counts as
	// unresponsive.
	missLimit = 3
	// maxCoordinators bounds how many coordinators are called for one request.
	maxCoordinators = 2
)

// ErrNoCoordinator is returned if no coordinator answered in time.
var ErrNoCoordinator = errors.New("no coordinator answered in time")

// Fleet provides the live nodes.
type Fleet interface {
	// Candidates returns the nodes that may coordinate a scope: a service, or other state that one
	// node keeps for the fleet.
	Candidates(scope string) []Node
	// Own returns the address of this node.
	Own() string
	// Services returns the names of the engine services.
	Services() []string
	// Unresponsive records that a node did not answer.
	Unresponsive(address string, err error)
}

// Locator finds the node that coordinates a scope. It is for clients of other state that one node
// keeps for the fleet. Client implements it.
type Locator interface {
	// Coordinator returns the address of the node that coordinates a scope, if there is one.
	Coordinator(scope string) (address string, found bool)
	// Own returns the address of this node.
	Own() string
	// Answered records that a coordinator answered a call, and Missed that it did not.
	Answered(address string)
	Missed(address string, err error)
}

var _ Locator = (*Client)(nil)

// Node is one incarnation of a node.
type Node struct {
	Address string
	// Incarnation distinguishes restarts of the node. It is empty while unknown.
	Incarnation string
}

// Client calls the coordinators of services. It is safe for concurrent use.
type Client struct {
	fleet Fleet
	peers *peer.Client
	local *Coordinator
	now   func() time.Duration

	mu sync.Mutex
	// runs are this node's runs by service and identifier.
	runs map[string]map[string]ledger.Run
	// misses counts the consecutive unanswered calls to each coordinator.
	misses map[string]int
	// lastSync is the last sync with the coordinator of each service.
	lastSync map[string]syncRecord
	// learned is, for each service, the newest model that keepLearned accepted from the coordinator:
	// the coordinator returns its model at each sync of this node.
	learned map[string]LearnedModel
}

// NewClient returns a client that calls the local coordinator directly where this node is the
// coordinator.
func NewClient(fleet Fleet, peers *peer.Client, local *Coordinator, now func() time.Duration) *Client {
	return &Client{fleet: fleet, peers: peers, local: local, now: now, runs: map[string]map[string]ledger.Run{}, lastSync: map[string]syncRecord{}, misses: map[string]int{}, learned: map[string]LearnedModel{}}
}

// Assign requests engines for a run.
func (c *Client) Assign(ctx context.Context, request Request) (Assignment, error) {
	failure := ErrNoCoordinator
	for range maxCoordinators {
		node, found := c.coordinator(request.Service)
		if !found {
			return Assignment{}, failure
		}
		assignment, err := c.assignAt(ctx, node, request)
		if err == nil {
			c.recordRun(request, assignment)
			c.answered(node.Address)
			return assignment, nil
		}
		// The coordinator may have assigned engines although its response did not arrive.
		c.notifyEnd(node.Address, RunResult{Service: request.Service, ID: request.Run.ID})
		if ctx.Err() != nil {
			return Assignment{}, ctx.Err()
		}
		failure = errors.Wrapf(ErrNoCoordinator, "%s: %v", node.Address, err)
		if c.missed(node.Address, err) {
			return Assignment{}, failure
		}
	}
	return Assignment{}, failure
}

// Coordinator returns the address of the node that coordinates a service, if there is one.
func (c *Client) Coordinator(service string) (address string, found bool) {
	node, found := c.coordinator(service)
	return node.Address, found
}

// Own returns the address of this node.
func (c *Client) Own() string { return c.fleet.Own() }

// Answered records that a coordinator answered a call on which no request waits.
func (c *Client) Answered(address string) { c.answered(address) }

// Missed records that a coordinator did not answer a call on which no request waits. The timeout of
// these calls is much longer than firstResponseTimeout, so that one miss is enough to verify the
// node: in a large fleet a node requests engines only once in several seconds, and it would take
// too long until missLimit calls were missed.
func (c *Client) Missed(address string, err error) { c.fleet.Unresponsive(address, err) }

// missed records an unanswered request for engines and reports whether the coordinator may merely
// be slow. A new coordinator would have no record of the other nodes' runs, so the current one is
// replaced only after repeated misses or once it is known to be down.
func (c *Client) missed(address string, err error) bool {
	c.mu.Lock()
	c.misses[address]++
	slow := errors.Is(err, context.DeadlineExceeded) && c.misses[address] < missLimit
	c.mu.Unlock()
	if !slow {
		c.fleet.Unresponsive(address, err)
	}
	return slow
}

func (c *Client) answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.misses, address)
}

// coordinator returns the node that coordinates a service, if there is one.
func (c *Client) coordinator(service string) (Node, bool) {
	candidates := c.fleet.Candidates(service)
	addresses := make([]string, len(candidates))
	for i, candidate := range candidates {
		addresses[i] = candidate.Address
	}
	owner := placement.Owner(service, addresses)
	for _, candidate := range candidates {
		if candidate.Address == owner {
			return candidate, true
		}
	}
	return Node{}, false
}

// assignAt requests engines from one coordinator, first without waiting for capacity, so that an
// unresponsive one costs little time.
func (c *Client) assignAt(ctx context.Context, node Node, request Request) (Assignment, error) {
	request.Run.Holder = c.fleet.Own()
	if node.Address == c.fleet.Own() {
		return c.local.Assign(ctx, &request), nil
	}
	request.Probe = request.Wait > 0
	assignment, err := c.call(ctx, node.Address, &request, firstResponseTimeout)
	if err != nil || assignment.Decode != "" || assignment.RetryAfter > 0 || !request.Probe {
		return assignment, err
	}
	request.Probe, request.AfterProbe = false, true
	return c.call(ctx, node.Address, &request, request.Wait+firstResponseTimeout)
}

func (c *Client) call(ctx context.Context, address string, request *Request, timeout time.Duration) (Assignment, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_AssignEngines{
		AssignEngines: encodeRequest(request, c.now()),
	}})
	if err != nil {
		return Assignment{}, err
	}
	assigned := response.GetAssignment()
	return Assignment{
		Decode: assigned.GetDecodeEngine(), Prefill: assigned.GetPrefillEngine(),
		RetryAfter: peer.Millis(assigned.GetRetryAfterMs()), ShortRole: assigned.GetShort(),
		Output: int(assigned.GetOutputTokens()), PromptReady: peer.Millis(assigned.GetPromptReadyMs()),
		LocalPrefill: assigned.GetReadsItself(),
	}, nil
}

func (c *Client) recordRun(request Request, assignment Assignment) {
	if assignment.Decode == "" {
		return
	}
	run := request.Run
	run.Engine, run.Started, run.Output = assignment.Decode, c.now(), assignment.Output
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[request.Service] == nil {
		c.runs[request.Service] = map[string]ledger.Run{}
	}
	c.runs[request.Service][run.ID] = run
}

// Run sends this node's runs to their coordinators, at once to a new coordinator and otherwise at
// intervals, until the context ends. The sync makes up for lost messages about assignments and ends
// of runs.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, coordinatorCheckInterval, func(ctx context.Context) {
		for _, service := range c.fleet.Services() {
			c.syncService(ctx, service)
		}
	})
}

// syncRecord is a sync of this node's runs with a coordinator.
type syncRecord struct {
	node Node
	at   time.Duration
}

// syncReport is what a sync sends to a coordinator.
type syncReport struct {
	runs []ledger.Run
	// learned is set for a new coordinator: what the previous one had learned.
	learned *LearnedModel
}

// dueReport returns what to send to the coordinator of a service, if a sync is due.
func (c *Client) dueReport(service string, node Node) (syncReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, now := c.lastSync[service], c.now()
	isNew := last.node != node
	if !isNew && now-last.at < syncInterval {
		return syncReport{}, false
	}
	c.lastSync[service] = syncRecord{node: node, at: now}
	var due syncReport
	for _, run := range c.runs[service] {
		due.runs = append(due.runs, run)
	}
	if learned, known := c.learned[service]; known && isNew {
		due.learned = &learned
	}
	return due, true
}

// syncService syncs this node's runs with the coordinator of a service, if a sync is due.
func (c *Client) syncService(ctx context.Context, service string) {
	node, found := c.coordinator(service)
	if !found {
		return
	}
	due, isDue := c.dueReport(service, node)
	if !isDue {
		return
	}
	if node.Address == c.fleet.Own() {
		c.syncLocal(service, due)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	message := &peerpb.SyncRuns{Service: service, Holder: c.fleet.Own(), Runs: encodeRuns(due.runs, c.now())}
	if due.learned != nil {
		message.Learned = encodeLearned(*due.learned)
	}
	response, err := c.peers.Call(ctx, node.Address, &peerpb.Request{Body: &peerpb.Request_SyncRuns{SyncRuns: message}})
	if err != nil {
		c.Missed(node.Address, err)
		return
	}
	if learned := response.GetLearnedModel(); learned != nil {
		c.keepLearned(service, decodeLearned(learned))
	}
}

// syncLocal syncs with the coordinator on this node.
func (c *Client) syncLocal(service string, due syncReport) {
	if due.learned != nil {
		c.local.Adopt(service, *due.learned)
	}
	c.local.Sync(service, c.fleet.Own(), due.runs)
	c.keepLearned(service, c.local.Learned(service))
}

// minAdoptedSamples is how many complete outputs a coordinator must have learned from before its
// model replaces one that a previous coordinator learned from more outputs.
const minAdoptedSamples = 50

// keepLearned stores what the coordinator of a service has learned, for the next coordinator.
func (c *Client) keepLearned(service string, learned LearnedModel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learned.Rate.Samples >= min(minAdoptedSamples, c.learned[service].Rate.Samples+1) {
		c.learned[service] = learned
	}
}

// End reports the end of a run to its coordinator without waiting for the response.
func (c *Client) End(result RunResult) {
	c.mu.Lock()
	delete(c.runs[result.Service], result.ID)
	c.mu.Unlock()
	if node, found := c.coordinator(result.Service); found {
		c.notifyEnd(node.Address, result)
	}
}

func (c *Client) notifyEnd(address string, result RunResult) {
	if address == c.fleet.Own() {
		c.local.End(result)
		return
	}
	// A coordinator that does not receive this message learns of the end at the next sync.
	c.notify(address, &peerpb.Request{Body: &peerpb.Request_EndRun{EndRun: encodeRunResult(result)}})
}

// PrefillDone reports to the coordinator that an engine has prefilled a run's prompt, without
// waiting for the response.
func (c *Client) PrefillDone(service, id, engine string) {
	node, found := c.coordinator(service)
	switch {
	case !found:
	case node.Address == c.fleet.Own():
		c.local.PrefillDone(service, id, engine)
	default:
		c.notify(node.Address, &peerpb.Request{Body: &peerpb.Request_PromptRead{PromptRead: &peerpb.PromptRead{
			Service: service, Id: id, Engine: engine,
		}}})
	}
}

// EngineFailed reports an engine failure that did not end a run, without waiting for the response.
func (c *Client) EngineFailed(failure EngineFailure) {
	node, found := c.coordinator(failure.Service)
	switch {
	case !found:
	case node.Address == c.fleet.Own():
		c.local.EngineFailed(failure)
	default:
		c.notify(node.Address, &peerpb.Request{Body: &peerpb.Request_EngineFailed{EngineFailed: &peerpb.EngineFailed{
			Service: failure.Service, Engine: failure.Engine, Id: failure.ID, Silent: failure.TimedOut,
		}}})
	}
}

// notify calls a node without waiting for its response.
func (c *Client) notify(address string, request *peerpb.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		_, _ = c.peers.Call(ctx, address, request)
	}()
}
