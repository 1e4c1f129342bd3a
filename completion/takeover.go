package completion

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
)

const (
	// yieldTimeout bounds the wait for the earlier holder, which finishes its
	// prefill before it yields.
	yieldTimeout = 10 * time.Second
)

// placement is the location of a run's stream.
type placement struct {
	pool    string
	engine  string
	attempt uint32
}

// turnState coordinates the arrivals of one request, called turns: a later turn
// takes over the stream of an earlier one.
type turnState struct {
	mu sync.Mutex
	// number is the number of this turn, counted over all arrivals of the request.
	number uint64
	// yielding is set when a later turn has requested the stream.
	yielding bool
	// stop stops reading the stream; nil while no stream is read.
	stop context.CancelFunc
	// current is the location of the run's stream; zero until there is one.
	current placement
	// settled is closed when the run has a stream or has ended.
	settled     chan struct{}
	settledOnce sync.Once
	// ended is closed when the run has ended.
	ended chan struct{}
	// resume is the stream left by an earlier turn; nil if there is none to resume.
	resume *placement
	// directoryNodes are the nodes that the run was last reported to.
	directoryNodes string
}

func (t *turnState) init() {
	t.settled = make(chan struct{})
	t.ended = make(chan struct{})
}

// recordPlacement records the location of the run's stream.
func (t *turnState) recordPlacement(heldGrant *grant, engineName string) {
	t.mu.Lock()
	t.current = placement{pool: heldGrant.request.GetPool(), engine: engineName, attempt: heldGrant.request.GetAttempt()}
	t.mu.Unlock()
	t.settledOnce.Do(func() { close(t.settled) })
}

// onYield registers the function that stops reading the stream. The returned
// function unregisters it.
func (t *turnState) onYield(stop context.CancelFunc) func() {
	t.mu.Lock()
	t.stop = stop
	yielding := t.yielding
	t.mu.Unlock()
	if yielding {
		stop()
	}
	return func() {
		t.mu.Lock()
		t.stop = nil
		t.mu.Unlock()
	}
}

func (t *turnState) mustYield() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.yielding
}

// takeResume returns the stream left by an earlier turn. Later calls return nil.
func (t *turnState) takeResume() *placement {
	resumed := t.resume
	t.resume = nil
	return resumed
}

// registerRun registers a request with a key and takes over from its earlier turn.
func (s *Service) registerRun(ctx context.Context, started *run) error {
	previous, err := s.registerArrival(ctx, started)
	if err != nil {
		return err
	}
	if previous.GetState() == peerpb.RunState_RUN_STATE_RUNNING {
		started.requestID = previous.GetRequestId()
		s.takeOver(ctx, started, previous)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[runKey(started.exchange.Tenant.Name, started.request.key)] = started
	return nil
}

func runKey(tenant, key string) string { return tenant + "\x00" + key }

// takeOver requests the earlier holder to yield. If the holder does not answer, the
// directory's record of the stream is used.
func (s *Service) takeOver(ctx context.Context, started *run, previous *peerpb.Running) {
	s.options.Metrics.Add("takeovers", 1)
	started.event("taken-over", previous.GetDecodeEngine(), previous.GetHolder().GetNode())
	callCtx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	response, err := s.options.Cluster.CallNode(callCtx, previous.GetHolder().GetNode(), &peerpb.Request{Body: &peerpb.Request_Yield{Yield: &peerpb.Yield{
		Tenant: started.exchange.Tenant.Name, Key: started.request.key, Turn: started.turn.number,
	}}})
	if err == nil && response.GetRegistered().GetPrevious() != nil {
		previous = response.GetRegistered().GetPrevious()
	}
	started.attempt = previous.GetAttempt()
	if previous.GetDecodeEngine() != "" {
		started.turn.resume = &placement{pool: previous.GetPool(), engine: previous.GetDecodeEngine(), attempt: previous.GetAttempt()}
	}
}

// resumePrevious continues the stream left by an earlier turn, from the first token
// that the caller has not received.
func (r *run) resumePrevious(ctx context.Context, previous *placement) error {
	ref, err := r.engineOf(previous.engine)
	if err != nil {
		return err
	}
	r.attempt = previous.attempt
	r.dispatched = true
	r.complete = r.delivered == 0
	r.offset = r.delivered
	pool, ok := r.exchange.Snapshot.Pool(previous.pool)
	if !ok {
		pool = ref.Pool
	}
	heldGrant := r.service.grants.adopt(ctx, pool, r.grantRequest(), &peerpb.Granted{DecodeEngine: previous.engine})
	r.turn.recordPlacement(heldGrant, previous.engine)
	r.reportPlacement()
	err = r.resume(ctx, ref.Engine.Address, errNoStream)
	switch {
	case err == nil:
		r.service.grants.release(heldGrant, r.offset, "")
		return nil
	case !r.isStreamFailure(err):
		if r.turn.mustYield() {
			r.service.grants.forget(heldGrant)
			return err
		}
	}
	r.cancelAt(previous.engine)
	r.service.grants.release(heldGrant, -1, "")
	if !r.complete {
		// The text before the caller's offset is unknown here, so another attempt
		// starts from the first token; the caller gets only what it has not received.
		r.offset = 0
		r.generated.Reset()
		r.complete = true
	}
	return err
}

// unregisterRun ends the registration of a run at this node.
func (s *Service) unregisterRun(ended *run) {
	key := runKey(ended.exchange.Tenant.Name, ended.request.key)
	s.mu.Lock()
	if s.runs[key] == ended {
		delete(s.runs, key)
	}
	s.mu.Unlock()
	ended.turn.settledOnce.Do(func() { close(ended.turn.settled) })
	close(ended.turn.ended)
}

// HandleYield ends the caller's connection of a run in favor of a later turn.
func (s *Service) HandleYield(ctx context.Context, yield *peerpb.Yield) (*peerpb.Registered, error) {
	s.mu.Lock()
	earlier, ok := s.runs[runKey(yield.GetTenant(), yield.GetKey())]
	s.mu.Unlock()
	if !ok || earlier.turn.number >= yield.GetTurn() {
		return &peerpb.Registered{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	turn := &earlier.turn
	turn.mu.Lock()
	turn.yielding = true
	turn.mu.Unlock()
	if !waitFor(ctx, turn.settled) {
		return &peerpb.Registered{}, nil
	}
	turn.mu.Lock()
	if turn.stop != nil {
		turn.stop()
	}
	turn.mu.Unlock()
	waitFor(ctx, turn.ended)
	turn.mu.Lock()
	defer turn.mu.Unlock()
	return &peerpb.Registered{Previous: &peerpb.Running{
		Pool: turn.current.pool, DecodeEngine: turn.current.engine, Attempt: max(turn.current.attempt, earlier.attempt),
	}}, nil
}

func waitFor(ctx context.Context, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// running returns the directory's record of a run.
func (r *run) running() *peerpb.Running {
	holder := r.service.holder()
	r.turn.mu.Lock()
	defer r.turn.mu.Unlock()
	return &peerpb.Running{
		Tenant: r.exchange.Tenant.Name, Key: r.request.key, BodyDigest: r.request.digest,
		Holder:    &peerpb.Holder{Node: holder.Node, Incarnation: holder.Incarnation},
		RequestId: r.requestID, Pool: r.turn.current.pool, DecodeEngine: r.turn.current.engine, Attempt: r.turn.current.attempt,
		State: peerpb.RunState_RUN_STATE_RUNNING, Turn: r.turn.number,
	}
}

// reportPlacement reports the location of the stream to the directory.
func (r *run) reportPlacement() {
	if r.request.key != "" {
		r.report()
	}
}

// reportEnd reports the outcome of the run to the directory.
func (r *run) reportEnd(err error) {
	if r.turn.mustYield() && err != nil {
		return
	}
	ended := r.running()
	ended.State = peerpb.RunState_RUN_STATE_ANSWERED
	if err != nil {
		ended.State = peerpb.RunState_RUN_STATE_FAILED
	}
	r.reportAs(ended)
}
