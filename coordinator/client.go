package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

const (
	// firstAnswerTimeout is how long a coordinator may take for its first answer.
	firstAnswerTimeout = 60 * time.Millisecond
	// endTimeout bounds the call that tells of a run's end.
	endTimeout = 300 * time.Millisecond
	// maxCoordinators bounds how many coordinators one request asks.
	maxCoordinators = 2
)

// ErrNoCoordinator is returned where no coordinator answered in time.
var ErrNoCoordinator = errors.New("coordinator: none answers")

// Fleet tells which nodes live.
type Fleet interface {
	// Live returns the addresses of the nodes that seem to live, this one included.
	Live() []string
	// Own returns the address of this node.
	Own() string
	// Silent notes that a node did not answer.
	Silent(address string, err error)
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
	// known is the coordinator that has been told of a service's runs.
	known map[string]string
}

// NewClient returns a client that asks the local coordinator where this node
// coordinates itself.
func NewClient(fleet Fleet, peers *peer.Client, local *Coordinator, now func() time.Duration) *Client {
	return &Client{fleet: fleet, peers: peers, local: local, now: now, runs: map[string]map[string]ledger.Run{}, known: map[string]string{}}
}

// Assign asks for engines.
func (c *Client) Assign(ctx context.Context, request Request) (Assignment, error) {
	for range maxCoordinators {
		address := placement.Owner(request.Service, c.fleet.Live())
		assignment, err := c.ask(ctx, address, request)
		if err == nil {
			c.remember(request, assignment)
			return assignment, nil
		}
		if ctx.Err() != nil {
			// It may have been assigned all the same.
			c.End(Ended{Service: request.Service, ID: request.Run.ID})
			return Assignment{}, ctx.Err()
		}
		c.fleet.Silent(address, err)
	}
	return Assignment{}, ErrNoCoordinator
}

// ask asks one coordinator, first without waiting, so that one that does not
// answer costs little time.
func (c *Client) ask(ctx context.Context, address string, request Request) (Assignment, error) {
	request.Active = c.untold(request.Service, address)
	if address == c.fleet.Own() {
		return c.local.Assign(ctx, &request), nil
	}
	wait := request.Wait
	request.Wait = 0
	assignment, err := c.call(ctx, address, &request, firstAnswerTimeout)
	if err != nil || assignment.Decode != "" || wait <= 0 {
		return assignment, err
	}
	request.Wait, request.Active = wait, nil
	return c.call(ctx, address, &request, wait+firstAnswerTimeout)
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
		RetryAfter: millis(answer.GetRetryAfterMs()), Short: answer.GetShort(),
	}, nil
}

// untold returns this node's runs of a service if the coordinator does not know
// them yet.
func (c *Client) untold(service, address string) []ledger.Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.known[service] == address {
		return nil
	}
	c.known[service] = address
	active := make([]ledger.Run, 0, len(c.runs[service]))
	for _, run := range c.runs[service] {
		active = append(active, run)
	}
	return active
}

func (c *Client) remember(request Request, assignment Assignment) {
	if assignment.Decode == "" {
		return
	}
	run := request.Run
	run.Engine, run.Started = assignment.Decode, c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[request.Service] == nil {
		c.runs[request.Service] = map[string]ledger.Run{}
	}
	c.runs[request.Service][run.ID] = run
}

// End tells the coordinator that a run is over. It does not wait for the answer.
func (c *Client) End(ended Ended) {
	c.mu.Lock()
	delete(c.runs[ended.Service], ended.ID)
	address := c.known[ended.Service]
	c.mu.Unlock()
	if address == c.fleet.Own() {
		c.local.End(ended)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		// A coordinator that does not hear of it forgets the run by itself.
		_, _ = c.peers.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_EndRun{EndRun: &peerpb.EndRun{
			Service: ended.Service, Id: ended.ID,
			DurationMs: ended.Duration.Milliseconds(), PrefillMs: ended.Prefill.Milliseconds(), Refusal: int32(ended.Refusal),
		}}})
	}()
}
