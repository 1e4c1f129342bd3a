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
	// reserveTimeout bounds one reservation call.
	reserveTimeout = 100 * time.Millisecond
	// releaseTimeout bounds the calls that free reservations and prompts.
	releaseTimeout = 2 * time.Second
	// maxFreeDelay is the longest time for which a call that frees a reservation or a prompt is delayed
	// until the backoff of its engine ends. With a longer backoff the call is not made: reservations and
	// prompts also expire at the engine without a call, reservations after 2 s on the supported deployments
	// and prompts soon after.
	maxFreeDelay = 5 * time.Second
	// reserveInterval is the pause between two rounds over all engines.
	reserveInterval = 40 * time.Millisecond
	// fullDuration is how long a backend counts as full after reporting it.
	fullDuration = 100 * time.Millisecond
)

// reservedEngine is a decode engine with memory reserved for a run.
type reservedEngine struct {
	exchange    *exchange
	entry       *backend.Entry
	reservation Reservation
	// version is the version of the engine's software.
	version string
	// prefillEngine is the engine assigned to prefill the prompt; empty for any.
	prefillEngine string
	// localPrefill is set if the decode engine is to prefill the prompt.
	localPrefill bool
	// expectedPrefill is the expected time until the prompt has been prefilled; zero if there is no estimate.
	expectedPrefill time.Duration
	// run identifies the run at its coordinator; empty if the run has no coordinator.
	run string
	// reservedAt is when the engine was reserved, firstEvent how long after that the first event arrived.
	reservedAt time.Time
	firstEvent time.Duration
	// sent is when the decode call was sent, events how many events this engine has sent.
	sent   time.Time
	events int
	// rejection is why the engine did not accept the run in spite of the reservation.
	rejection coordinator.Rejection
	// responded is set once the engine has begun its response.
	responded bool
	// failover prepares another engine if this one is unresponsive; nil if the stream may not continue at another one.
	failover *failover[preparedRun]
	end      func()
}

// close ends the run and reports its result to the coordinator. complete is set if the whole output was
// relayed; events is the number of events of the whole stream, including those from other engines.
func (s *reservedEngine) close(complete bool, events, eventTokens int) {
	s.end()
	s.failover.stop()
	if s.run == "" {
		return
	}
	result := coordinator.RunResult{Service: s.exchange.service, ID: s.run, Rejection: s.rejection}
	if complete && events > 0 {
		result.Duration, result.Output = time.Since(s.reservedAt), events*eventTokens
		result.FirstEvent, result.RestTokens = s.firstEvent, (s.events-1)*eventTokens
	}
	s.exchange.handler.options.Coordinator.End(result)
}

// reportPrefilled notifies the coordinator that an engine has prefilled the prompt.
func (s *reservedEngine) reportPrefilled(engine string) {
	if s.run != "" {
		s.exchange.handler.options.Coordinator.PrefillDone(s.exchange.service, s.run, engine)
	}
}

// reportPrefillFailure notifies the coordinator that an engine has not prefilled the prompt, which was sent at a time.
func (s *reservedEngine) reportPrefillFailure(engine *backend.Entry, sent time.Time, timedOut bool) {
	if s.run == "" || !s.exchange.handler.options.FailureCounts(engine.Backend(), sent) {
		return
	}
	s.exchange.handler.options.Coordinator.EngineFailed(coordinator.EngineFailure{
		Service: s.exchange.service, Engine: engine.ID(), ID: s.run, TimedOut: timedOut,
	})
}

// reserve reserves memory at a decode engine, waiting a bounded time for it.
func (x *exchange) reserve(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	if rejection := x.allBackingOff(backend.RoleDecode, nil); rejection != nil {
		return nil, rejection
	}
	if rejection := x.versionRejection(); rejection != nil {
		return nil, rejection
	}
	for {
		reserved, err := x.reserveAny(ctx, profile, avoid)
		if err != nil || x.confirmIncarnation(ctx, reserved) {
			return reserved, err
		}
		avoid[reserved.entry.ID()] = true
		x.release(ctx, reserved)
	}
}

// reserveAny reserves memory at a decode engine that the coordinator assigns or, if there is none, that this node chooses.
func (x *exchange) reserveAny(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	if x.handler.options.Coordinator == nil {
		return x.reserveUncoordinated(ctx, profile, avoid)
	}
	for {
		reserved, err := x.reserveAssigned(ctx, profile, avoid)
		if errors.Is(err, coordinator.ErrNoCoordinator) {
			x.handler.logUncoordinated(x, err)
			return x.reserveUncoordinated(ctx, profile, avoid)
		}
		if reserved != nil || err != nil {
			return reserved, err
		}
	}
}

// reserveAssigned reserves memory at the engine that the coordinator assigns. If that engine has no
// capacity, the result is nil and the coordinator is notified.
func (x *exchange) reserveAssigned(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	request := coordinator.Request{
		Service:   x.service,
		Wait:      x.coordinatedWait(),
		Objective: x.firstTokenBudget(),
		Late:      x.isLate(),
		Version:   x.version,
		Priority:  x.route.Priority, AboveUsual: x.quota.AboveUsual,
		Run: ledger.Run{
			ID:        x.handler.runNames.next(),
			Prompt:    x.request.Generation.PromptTokens,
			Output:    expectedOutput(x.request.Generation),
			MaxOutput: x.request.Generation.MaxOutputTokens,
		},
	}
	if x.tenant != nil {
		request.TenantPriority = x.tenant.Priority
	}
	// Without this list, a coordinator that has not received the notice of a backend would repeatedly assign
	// that backend.
	request.Avoid = x.handler.options.Backends.Withheld(x.service)
	for id := range avoid {
		request.Avoid = append(request.Avoid, id)
	}
	assigned, err := x.handler.options.Coordinator.Assign(ctx, request)
	if failure := contextFailure(ctx); failure != nil {
		if assigned.Decode != "" {
			x.endUnused(request.Run.ID, coordinator.RejectionNone)
		}
		return nil, failure
	}
	if err != nil {
		return nil, err
	}
	if assigned.Decode == "" {
		x.shortRole = assigned.ShortRole
		return nil, x.noCapacity(assigned.RetryAfter)
	}
	entry := x.handler.options.Backends.Lookup(assigned.Decode)
	if entry != nil && !x.version.Allows(entry.Backend().SoftwareVersion) {
		x.endUnused(request.Run.ID, coordinator.RejectionNone)
		return nil, errors.Wrapf(coordinator.ErrNoCoordinator, "version %s was assigned", entry.Backend().SoftwareVersion)
	}
	var reservation *Reservation
	rejection := coordinator.RejectionFull
	if entry != nil && entry.TakesWork() && entry.BackoffRemaining() == 0 {
		reservation, rejection, err = x.reserveAt(ctx, entry, profile, reservationOptions{assigned: true, expectedPrefill: assigned.PromptReady})
	}
	if err != nil {
		x.endUnused(request.Run.ID, coordinator.RejectionNone)
		return nil, err
	}
	if reservation == nil {
		if rejection == coordinator.RejectionNone {
			// The coordinator does not learn of it, and would assign the same engine again.
			avoid[assigned.Decode] = true
		}
		x.handler.logAssignedFull(x, assigned.Decode)
		x.endUnused(request.Run.ID, rejection)
		return nil, nil
	}
	return &reservedEngine{
		exchange: x, entry: entry, reservation: *reservation, version: entry.Backend().SoftwareVersion,
		prefillEngine: assigned.Prefill, localPrefill: assigned.LocalPrefill, expectedPrefill: assigned.PromptReady,
		run: request.Run.ID, reservedAt: time.Now(), end: entry.Begin(),
	}, nil
}

// endUnused notifies the coordinator that no run uses the assigned engine.
func (x *exchange) endUnused(run string, rejection coordinator.Rejection) {
	x.handler.options.Coordinator.End(coordinator.RunResult{Service: x.service, ID: run, Rejection: rejection})
}

// noCapacity is the rejection of a request for lack of free capacity.
func (x *exchange) noCapacity(expected time.Duration) error {
	return notRun(ReasonNoCapacity, x.handler.options.Policy.retryAfter(expected), nil)
}

// reserveUncoordinated requests a reservation from the engines in turn, without a coordinator.
func (x *exchange) reserveUncoordinated(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*reservedEngine, error) {
	until := time.Now().Add(x.uncoordinatedWait())
	for {
		for _, entry := range x.decodeCandidates(avoid) {
			reservation, _, err := x.reserveAt(ctx, entry, profile, reservationOptions{})
			if err != nil {
				return nil, err
			}
			if reservation != nil {
				return &reservedEngine{
					exchange: x, entry: entry, reservation: *reservation, version: entry.Backend().SoftwareVersion,
					reservedAt: time.Now(), end: entry.Begin(),
				}, nil
			}
		}
		if time.Now().Add(reserveInterval).After(until) {
			return nil, x.noCapacity(0)
		}
		if err := periodic.Pause(ctx, reserveInterval); err != nil {
			return nil, contextFailure(ctx)
		}
	}
}

// reservationOptions determines the size and the lifetime of a reservation.
type reservationOptions struct {
	// assigned is set for an engine that the coordinator assigned.
	assigned bool
	// expectedPrefill is the expected time until the prompt is prefilled; zero if there is no estimate.
	expectedPrefill time.Duration
}

// reserveAt requests a reservation from one engine. The result is nil if the engine is full, in backoff or
// does not answer; the returned coordinator.Rejection says which.
func (x *exchange) reserveAt(ctx context.Context, entry *backend.Entry, profile *routing.EngineProfile, options reservationOptions) (*Reservation, coordinator.Rejection, error) {
	policy := &x.handler.options.Policy
	tokens := min(policy.reservedTokens(x.request.Generation, options.assigned), profile.MemoryTokens)
	lifetime := min(max(policy.ReservationLifetime, prefillLimit(options.expectedPrefill)), profile.MaxReservationTime)
	callContext, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	sent := time.Now()
	reservation, err := x.handler.options.Dialect.Reserve(callContext, entry.Backend(), tokens, lifetime)
	switch {
	case ctx.Err() != nil:
		return nil, coordinator.RejectionNone, contextFailure(ctx)
	case errors.Is(err, ErrLimited):
		return nil, coordinator.RejectionNone, nil
	case err != nil:
		entry.RecordFailure()
		x.handler.options.Metrics.Add("reservation_errors", 1)
		return nil, x.failureRejection(entry, sent), nil
	case reservation == nil && entry.BackoffRemaining() > 0:
		// The engine has requested backoff from this node only, and may have capacity for others. If its
		// backoff applied to all nodes and engines rejected one call in twenty, 0.44 of the streams were in
		// time instead of 0.59 (four nodes, six engines, 50 streams a second, means of six runs).
		x.handler.options.Metrics.Add("reservation_refusals", 1)
		return nil, coordinator.RejectionNone, nil
	case reservation == nil:
		entry.MarkFull(fullDuration)
		x.handler.options.Metrics.Add("reservation_refusals", 1)
		return nil, coordinator.RejectionFull, nil
	}
	return reservation, coordinator.RejectionNone, nil
}

// failureRejection returns what a failed call to an engine, sent at a time, tells the coordinator.
func (x *exchange) failureRejection(entry *backend.Entry, sent time.Time) coordinator.Rejection {
	if !x.handler.options.FailureCounts(entry.Backend(), sent) {
		return coordinator.RejectionNone
	}
	return coordinator.RejectionFailed
}

// decodeCandidates returns the usable engines in random order.
func (x *exchange) decodeCandidates(avoid map[string]bool) []*backend.Entry {
	var candidates []*backend.Entry
	for _, entry := range x.handler.options.Backends.Ready(x.service, backend.RoleDecode) {
		described := entry.Backend()
		if avoid[described.ID] || !x.version.Allows(described.SoftwareVersion) {
			continue
		}
		if entry.Healthy() && entry.BackoffRemaining() == 0 && x.handler.options.Assignable(entry) {
			candidates = append(candidates, entry)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// release cancels a reservation that no run has used.
func (x *exchange) release(ctx context.Context, reserved *reservedEngine) {
	reserved.close(false, 0, 0)
	x.freeLater(ctx, reserved.entry, "release_errors", func(ctx context.Context) error {
		return x.handler.options.Dialect.Release(ctx, reserved.entry.Backend(), reserved.reservation)
	})
}

// freeLater has an engine free a reservation or a prompt, without waiting for the response. An engine in
// backoff is called after the backoff has ended, because it must receive no calls before.
func (x *exchange) freeLater(ctx context.Context, engine *backend.Entry, errorsMetric string, free func(context.Context) error) {
	backoff := engine.BackoffRemaining()
	if backoff > maxFreeDelay {
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
