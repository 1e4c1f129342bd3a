package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/routing"
)

const (
	// reserveTimeout bounds one call for a reservation.
	reserveTimeout = 100 * time.Millisecond
	// releaseTimeout bounds the calls that free what is no longer needed.
	releaseTimeout = 2 * time.Second
	// longestFreeWait is how long such a call waits for the end of its engine's backoff. What engines keep
	// for a request lapses by itself, reservations after 2 s on the sites' sheets and prompts soon after.
	longestFreeWait = 5 * time.Second
	// reserveInterval is the pause between two rounds over all engines.
	reserveInterval = 40 * time.Millisecond
	// fullMemory is how long a back end counts as full after it said so.
	fullMemory = 100 * time.Millisecond
)

// reservedEngine is a decode engine with memory reserved for a run.
type reservedEngine struct {
	exchange    *exchange
	entry       *backend.Entry
	reservation Reservation
	// prefillEngine is the engine that is to read the prompt; empty for any.
	prefillEngine string
	// readsItself is set where the decode engine is to read the prompt.
	readsItself bool
	// promptReady is how long it is expected to take until the prompt has been read; zero
	// where nothing is known.
	promptReady time.Duration
	// run names the run at its coordinator; empty if it has none.
	run string
	// taken is when it was reserved, first how long after that the first event came.
	taken time.Time
	first time.Duration
	// sent is when the answer was asked for, events how many events came from this engine.
	sent   time.Time
	events int
	// refusal is how the engine did not take the run in spite of the reservation.
	refusal coordinator.Refusal
	// silence ends an answer whose engine says nothing; nil where none can begin elsewhere.
	silence *silenceWatch
	end     func()
}

// close ends the run. The answer was whole or not, and had so many events in all, some of them
// perhaps from other engines.
func (s *reservedEngine) close(whole bool, events, eventTokens int) {
	s.end()
	s.silence.stop()
	if s.run == "" {
		return
	}
	ended := coordinator.Ended{Service: s.exchange.service, ID: s.run, Refusal: s.refusal}
	if whole && events > 0 {
		ended.Duration, ended.Output = time.Since(s.taken), events*eventTokens
		ended.First, ended.Rest = s.first, (s.events-1)*eventTokens
	}
	s.exchange.handler.options.Coordinator.End(ended)
}

// promptRead notifies the coordinator which engine has read the prompt.
func (s *reservedEngine) promptRead(engine string) {
	if s.run != "" {
		s.exchange.handler.options.Coordinator.PromptRead(s.exchange.service, s.run, engine)
	}
}

// prefillFailed notifies the coordinator of an engine that has not read the prompt.
func (s *reservedEngine) prefillFailed(engine string, silent bool) {
	if s.run != "" {
		s.exchange.handler.options.Coordinator.EngineFailed(coordinator.Failure{
			Service: s.exchange.service, Engine: engine, ID: s.run, Silent: silent,
		})
	}
}

// reserve takes memory at a decode engine, waiting a bounded time for it.
func (x *exchange) reserve(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	if refused := x.allBackingOff(backend.RoleDecode, nil); refused != nil {
		return nil, refused
	}
	if x.handler.options.Coordinator == nil {
		return x.reserveAlone(ctx, profile, avoid)
	}
	for {
		taken, err := x.reserveAssigned(ctx, profile, avoid)
		if errors.Is(err, coordinator.ErrNoCoordinator) {
			x.handler.logUncoordinated(x, err)
			return x.reserveAlone(ctx, profile, avoid)
		}
		if taken != nil || err != nil {
			return taken, err
		}
	}
}

// reserveAssigned takes memory at the engine that the coordinator assigns. The
// result is nil if that engine has no capacity all the same; the coordinator is notified.
func (x *exchange) reserveAssigned(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	request := coordinator.Request{
		Service:  x.service,
		Wait:     x.coordinatedWait(),
		Within:   x.within(),
		Late:     x.isLate(),
		Priority: x.route.Priority, AboveUsual: x.quota.AboveUsual,
		Run: ledger.Run{
			ID:     x.handler.runNames.next(),
			Prompt: x.request.Generation.PromptTokens,
			Output: expectedOutput(x.request.Generation),
			Most:   x.request.Generation.MaxOutputTokens,
		},
	}
	if x.tenant != nil {
		request.TenantPriority = x.tenant.Priority
	}
	// A coordinator that has not heard the word of a back end assigns it again and again.
	request.Avoid = x.handler.options.Backends.Withheld(x.service)
	for id := range avoid {
		request.Avoid = append(request.Avoid, id)
	}
	assigned, err := x.handler.options.Coordinator.Assign(ctx, request)
	if failure := ended(ctx); failure != nil {
		if assigned.Decode != "" {
			x.endUnused(request.Run.ID, coordinator.RefusalNone)
		}
		return nil, failure
	}
	if err != nil {
		return nil, err
	}
	if assigned.Decode == "" {
		x.short = assigned.Short
		return nil, x.noRoom(assigned.RetryAfter)
	}
	entry := x.handler.options.Backends.Lookup(assigned.Decode)
	var reservation *Reservation
	refusal := coordinator.RefusalFull
	if entry != nil && entry.TakesWork() && entry.BackoffLeft() == 0 {
		reservation, refusal, err = x.reserveAt(ctx, entry, profile, reservationSize{assigned: true, promptReady: assigned.PromptReady})
	}
	if err != nil {
		x.endUnused(request.Run.ID, coordinator.RefusalNone)
		return nil, err
	}
	if reservation == nil {
		x.handler.logAssignedFull(x, assigned.Decode)
		x.endUnused(request.Run.ID, refusal)
		return nil, nil
	}
	return &reservedEngine{
		exchange: x, entry: entry, reservation: *reservation,
		prefillEngine: assigned.Prefill, readsItself: assigned.ReadsItself, promptReady: assigned.PromptReady,
		run: request.Run.ID, taken: time.Now(), end: entry.Begin(),
	}, nil
}

// endUnused notifies the coordinator that no run uses what it assigned.
func (x *exchange) endUnused(run string, refusal coordinator.Refusal) {
	x.handler.options.Coordinator.End(coordinator.Ended{Service: x.service, ID: run, Refusal: refusal})
}

// noRoom is the refusal of a request for which no capacity is free.
func (x *exchange) noRoom(expected time.Duration) error {
	return notRun(ReasonNoCapacity, x.handler.options.Policy.retryAfter(expected), nil)
}

// reserveAlone asks all engines for memory, without a coordinator.
func (x *exchange) reserveAlone(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	until := time.Now().Add(x.aloneWait())
	for {
		for _, entry := range x.handler.decodeCandidates(x.service, avoid) {
			reservation, _, err := x.reserveAt(ctx, entry, profile, reservationSize{})
			if err != nil {
				return nil, err
			}
			if reservation != nil {
				return &reservedEngine{exchange: x, entry: entry, reservation: *reservation, taken: time.Now(), end: entry.Begin()}, nil
			}
		}
		if time.Now().Add(reserveInterval).After(until) {
			return nil, x.noRoom(0)
		}
		if err := periodic.Pause(ctx, reserveInterval); err != nil {
			return nil, ended(ctx)
		}
	}
}

// reservationSize is what the size and the lifetime of a reservation go by.
type reservationSize struct {
	// assigned is set for an engine that the coordinator assigned.
	assigned bool
	// promptReady is how long it is expected to take until the prompt has been read; zero
	// where nothing is known.
	promptReady time.Duration
}

// reserveAt asks one engine for memory. The result is nil if it is full or does not answer;
// the refusal says which.
func (x *exchange) reserveAt(ctx context.Context, entry *backend.Entry, profile *routing.EngineProfile, size reservationSize) (*Reservation, coordinator.Refusal, error) {
	policy := &x.handler.options.Policy
	tokens := min(policy.reservedTokens(x.request.Generation, size.assigned), profile.MemoryTokens)
	lasting := min(max(policy.ReservationLifetime, prefillLimit(size.promptReady)), profile.MaxReservationTime)
	callContext, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	reservation, err := x.handler.options.Dialect.Reserve(callContext, entry.Backend(), tokens, lasting)
	switch {
	case ctx.Err() != nil:
		return nil, coordinator.RefusalNone, ended(ctx)
	case err != nil:
		entry.Failed()
		x.handler.options.Metrics.Add("reservation_errors", 1)
		return nil, coordinator.RefusalFailed, nil
	case reservation == nil && entry.BackoffLeft() > 0:
		// It wants backoff from this node, and may have capacity for others. With a pause for all nodes,
		// where engines turn one call in twenty away, 0.44 of the streams were in time in place of 0.59
		// (four nodes, six engines, 50 streams a second, means of six runs).
		x.handler.options.Metrics.Add("reservation_refusals", 1)
		return nil, coordinator.RefusalNone, nil
	case reservation == nil:
		entry.Full(fullMemory)
		x.handler.options.Metrics.Add("reservation_refusals", 1)
		return nil, coordinator.RefusalFull, nil
	}
	return reservation, coordinator.RefusalNone, nil
}

// decodeCandidates returns the engines in the order in which they are asked.
func (h *Handler) decodeCandidates(service string, avoid map[string]bool) []*backend.Entry {
	var candidates []*backend.Entry
	for _, entry := range h.options.Backends.Ready(service, backend.RoleDecode) {
		if !avoid[entry.Backend().ID] && entry.Sound() && entry.BackoffLeft() == 0 && h.options.Assignable(entry) {
			candidates = append(candidates, entry)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// release gives a reservation back that no run has used.
func (x *exchange) release(ctx context.Context, taken *reservedEngine) {
	taken.close(false, 0, 0)
	x.giveUp(ctx, taken.entry, "release_errors", func(ctx context.Context) error {
		return x.handler.options.Dialect.Release(ctx, taken.entry.Backend(), taken.reservation)
	})
}

// giveUp has an engine free something, without waiting for it. An engine in backoff is called once that is
// over, because it wants no call at all meanwhile.
func (x *exchange) giveUp(ctx context.Context, engine *backend.Entry, errorsMetric string, free func(context.Context) error) {
	backoff := engine.BackoffLeft()
	if backoff > longestFreeWait {
		return
	}
	ctx = context.WithoutCancel(ctx)
	time.AfterFunc(backoff, func() {
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		if err := free(ctx); err != nil {
			x.handler.options.Metrics.Add(errorsMetric, 1)
		}
	})
}
