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
	// firstAnswerTimeout is how long a coordinator may take for its first answer.
	firstAnswerTimeout = 60 * time.Millisecond
	// lookInterval is how often a node looks whether a service has another
	// coordinator.
	lookInterval = 100 * time.Millisecond
	// syncInterval is how often a coordinator gets all runs of a node.
	syncInterval = time.Second
	// endTimeout bounds the call that reports a run's end.
	endTimeout = 300 * time.Millisecond
	// missLimit is how many calls in a row a coordinator may miss.
	missLimit = 3
	// maxCoordinators bounds how many coordinators one request asks.
	maxCoordinators = 2
)

// ErrNoCoordinator is returned where no coordinator answered in time.
var ErrNoCoordinator = errors.New("coordinator: none answers")

// Fleet knows which nodes live.
type Fleet interface {
	// Candidates returns the nodes that may coordinate a scope: a service, or what else one node
	// keeps for all.
	Candidates(scope string) []Node
	// Own returns the address of this node.
	Own() string
	// Services returns the services of engines.
	Services() []string
	// Unresponsive notes that a node did not answer.
	Unresponsive(address string, err error)
}

// Locator knows which node coordinates what, for those that keep something for all nodes. Client
// implements it.
type Locator interface {
	// Coordinator returns the address of the node that coordinates a scope, if there is one.
	Coordinator(scope string) (address string, found bool)
	// Own returns the address of this node.
	Own() string
	// Answered notes that a coordinator has answered, Missed that it has not.
	Answered(address string)
	Missed(address string, err error)
}

var _ Locator = (*Client)(nil)

// Node is one start of a node.
type Node struct {
	Address string
	// Incarnation tells one start from another. It is empty while it is not known.
	Incarnation string
}

// Client asks the coordinators of services. It is safe for concurrent use.
type Client struct {
	fleet Fleet
	peers *peer.Client
	local *Coordinator
	now   func() time.Duration

	mu sync.Mutex
	// runs are this node's runs by service and identifier.
	runs map[string]map[string]ledger.Run
	// misses counts the calls that a coordinator has not answered since its last
	// answer.
	misses map[string]int
	// lastSync is the last sync with the coordinator of each service.
	lastSync map[string]synced
	// learned is what the coordinator of each service had learned at that time.
	learned map[string]LearnedModel
}

// NewClient returns a client that asks the local coordinator where this node
// coordinates itself.
func NewClient(fleet Fleet, peers *peer.Client, local *Coordinator, now func() time.Duration) *Client {
	return &Client{fleet: fleet, peers: peers, local: local, now: now, runs: map[string]map[string]ledger.Run{}, lastSync: map[string]synced{}, misses: map[string]int{}, learned: map[string]LearnedModel{}}
}

// Assign asks for engines.
func (c *Client) Assign(ctx context.Context, request Request) (Assignment, error) {
	failure := ErrNoCoordinator
	for range maxCoordinators {
		node, found := c.coordinator(request.Service)
		if !found {
			return Assignment{}, failure
		}
		assignment, err := c.ask(ctx, node, request)
		if err == nil {
			c.remember(request, assignment)
			c.answered(node.Address)
			return assignment, nil
		}
		// It may have been assigned all the same.
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

// Answered takes note of a coordinator that has answered a call which nobody waits for.
func (c *Client) Answered(address string) { c.answered(address) }

// Missed takes note of a coordinator that gave no answer to such a call. That has had so much more
// time than the first answer to a request that the node is verified at once: in a large fleet a
// node asks for engines once in some seconds, and would find out by three missed calls.
func (c *Client) Missed(address string, err error) { c.fleet.Unresponsive(address, err) }

// missed takes note of a coordinator that gave no answer, and reports whether it
// may only be slow. Another one would know none of the runs of all other nodes, so
// it is passed over only where it misses again or surely does not live.
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

// ask asks one coordinator, first without waiting, so that one that does not
// answer costs little time.
func (c *Client) ask(ctx context.Context, node Node, request Request) (Assignment, error) {
	request.Run.Holder = c.fleet.Own()
	if node.Address == c.fleet.Own() {
		return c.local.Assign(ctx, &request), nil
	}
	request.Probe = request.Wait > 0
	assignment, err := c.call(ctx, node.Address, &request, firstAnswerTimeout)
	if err != nil || assignment.Decode != "" || assignment.RetryAfter > 0 || !request.Probe {
		return assignment, err
	}
	request.Probe, request.Again = false, true
	return c.call(ctx, node.Address, &request, request.Wait+firstAnswerTimeout)
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
	answer := response.GetAssignment()
	return Assignment{
		Decode: answer.GetDecodeEngine(), Prefill: answer.GetPrefillEngine(),
		RetryAfter: peer.Millis(answer.GetRetryAfterMs()), ShortRole: answer.GetShort(),
		Output: int(answer.GetOutputTokens()), PromptReady: peer.Millis(answer.GetPromptReadyMs()),
		LocalPrefill: answer.GetReadsItself(),
	}, nil
}

func (c *Client) remember(request Request, assignment Assignment) {
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

// Run notifies the coordinators of this node's runs, at once where there is a new one
// and at intervals, until the context ends. What got lost on the way, an end or an
// assignment, is mended by that.
func (c *Client) Run(ctx context.Context) {
	periodic.Run(ctx, lookInterval, func(ctx context.Context) {
		for _, service := range c.fleet.Services() {
			c.syncService(ctx, service)
		}
	})
}

// synced is a sync of this node's runs with a coordinator.
type synced struct {
	node Node
	at   time.Duration
}

// report is what a coordinator is told at a sync.
type report struct {
	runs []ledger.Run
	// learned is set for a new coordinator: what the one before had learned.
	learned *LearnedModel
}

// due returns what the coordinator of a service is told, if a sync is due.
func (c *Client) due(service string, node Node) (report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, now := c.lastSync[service], c.now()
	isNew := last.node != node
	if !isNew && now-last.at < syncInterval {
		return report{}, false
	}
	c.lastSync[service] = synced{node: node, at: now}
	var due report
	for _, run := range c.runs[service] {
		due.runs = append(due.runs, run)
	}
	if learned, known := c.learned[service]; known && isNew {
		due.learned = &learned
	}
	return due, true
}

// syncService notifies the coordinator of a service of this node's runs, if that is
// due.
func (c *Client) syncService(ctx context.Context, service string) {
	node, found := c.coordinator(service)
	if !found {
		return
	}
	due, isDue := c.due(service, node)
	if !isDue {
		return
	}
	if node.Address == c.fleet.Own() {
		c.syncLocal(service, due)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
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
		c.keep(service, decodeLearned(learned))
	}
}

// syncLocal is a sync with this node itself.
func (c *Client) syncLocal(service string, due report) {
	if due.learned != nil {
		c.local.Adopt(service, *due.learned)
	}
	c.local.Sync(service, c.fleet.Own(), due.runs)
	c.keep(service, c.local.Learned(service))
}

// wellTaught is how many answers a coordinator must have seen for what it has learned to replace
// what one before had learned from more.
const wellTaught = 50

// keep keeps what the coordinator of a service has learned, for the next one.
func (c *Client) keep(service string, learned LearnedModel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learned.Rate.Answers >= min(wellTaught, c.learned[service].Rate.Answers+1) {
		c.learned[service] = learned
	}
}

// End notifies the coordinator that a run is over. It does not wait for the answer.
func (c *Client) End(ended RunResult) {
	c.mu.Lock()
	delete(c.runs[ended.Service], ended.ID)
	c.mu.Unlock()
	if node, found := c.coordinator(ended.Service); found {
		c.notifyEnd(node.Address, ended)
	}
}

func (c *Client) notifyEnd(address string, ended RunResult) {
	if address == c.fleet.Own() {
		c.local.End(ended)
		return
	}
	// A coordinator that does not hear of it hears it at the next sync.
	c.notify(address, &peerpb.Request{Body: &peerpb.Request_EndRun{EndRun: encodeEnded(ended)}})
}

// PrefillDone notifies the coordinator that an engine has read a run's prompt. It does not
// wait for the answer.
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

// EngineFailed notifies the coordinator of an engine that did not do what it was asked, where
// that ended no run. It does not wait for the answer.
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

// notify calls a node without waiting for its answer.
func (c *Client) notify(address string, request *peerpb.Request) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		_, _ = c.peers.Call(ctx, address, request)
	}()
}
