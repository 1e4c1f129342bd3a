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

// placement is where the stream of a run is.
type placement struct {
	pool    string
	engine  string
	attempt uint32
}

// turnState lets a later arrival of the same request take the stream over.
type turnState struct {
	mu     sync.Mutex
	number uint64
	// yielding is set when a later turn has asked for the stream.
	yielding bool
	stop     context.CancelFunc
	place    placement
	// settled is closed when the run has a stream or has ended.
	settled     chan struct{}
	settledOnce sync.Once
	// ended is closed when the run has ended.
	ended  chan struct{}
	resume *placement
	// directoryNodes are the nodes that were last told of the run.
	directoryNodes string
}

func (t *turnState) init() {
	t.settled = make(chan struct{})
	t.ended = make(chan struct{})
}

// placed records the stream of the run.
func (t *turnState) placed(held *grant, engineName string) {
	t.mu.Lock()
	t.place = placement{pool: held.request.GetPool(), engine: engineName, attempt: held.request.GetAttempt()}
	t.mu.Unlock()
	t.settledOnce.Do(func() { close(t.settled) })
}

// onYield registers what ends the reading of the stream. The returned function
// undoes it.
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

// takeResume returns, once, the stream that an earlier turn has left.
func (t *turnState) takeResume() *placement {
	resumed := t.resume
	t.resume = nil
	return resumed
}

// arrive registers a request with a key and takes over from its earlier turn.
func (s *Service) arrive(ctx context.Context, started *run) error {
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

// takeOver asks the earlier holder to yield. If it does not answer, what the
// directory knows of the stream has to do.
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

// resumeElsewhere reads the stream that an earlier turn has left, from the
// first token that the caller lacks.
func (r *run) resumeElsewhere(ctx context.Context, left *placement) error {
	ref, err := r.engineOf(left.engine)
	if err != nil {
		return err
	}
	r.attempt = left.attempt
	r.dispatched = true
	r.whole = r.sent == 0
	r.offset = r.sent
	pool, ok := r.exchange.Snapshot.Pool(left.pool)
	if !ok {
		pool = ref.Pool
	}
	held := r.service.grants.adopt(ctx, pool, r.grantRequest(), &peerpb.Granted{DecodeEngine: left.engine})
	r.turn.placed(held, left.engine)
	r.reportPlace()
	err = r.resume(ctx, ref.Engine.Address, errNoStream)
	switch {
	case err == nil:
		r.service.grants.giveBack(held, r.offset, "")
		return nil
	case !r.attempted(err):
		if r.turn.mustYield() {
			r.service.grants.forget(held)
			return err
		}
	}
	r.cancelAt(left.engine)
	r.service.grants.giveBack(held, -1, "")
	if !r.whole {
		// The text before the caller's offset is unknown here, so another attempt
		// starts from the first token; the caller gets only what it lacks.
		r.offset = 0
		r.generated.Reset()
		r.whole = true
	}
	return err
}

// leave ends the registration of a run at this node.
func (s *Service) leave(ended *run) {
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
		Pool: turn.place.pool, DecodeEngine: turn.place.engine, Attempt: max(turn.place.attempt, earlier.attempt),
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

// running is the directory's form of a run.
func (r *run) running() *peerpb.Running {
	holder := r.service.holder()
	r.turn.mu.Lock()
	defer r.turn.mu.Unlock()
	return &peerpb.Running{
		Tenant: r.exchange.Tenant.Name, Key: r.request.key, BodyDigest: r.request.digest,
		Holder:    &peerpb.Holder{Node: holder.Node, Incarnation: holder.Incarnation},
		RequestId: r.requestID, Pool: r.turn.place.pool, DecodeEngine: r.turn.place.engine, Attempt: r.turn.place.attempt,
		State: peerpb.RunState_RUN_STATE_RUNNING, Turn: r.turn.number,
	}
}

// reportPlace tells the directory where the stream is.
func (r *run) reportPlace() {
	if r.request.key != "" {
		r.report()
	}
}

// reportEnd tells the directory how the run ended.
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
