package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/routing"
)

const (
	// maxPrefills bounds how often a run is started, and the prefills for each start.
	maxPrefills = 3
	// maxLeavingTime is the longest time after a decode engine was reported leaving at which a run may still
	// start there: the engine may have been reported while the prompt was being prefilled. It is half of the
	// shortest time for which leaving engines continue to serve (2 s on the supported deployments).
	maxLeavingTime = time.Second
	// maxBackoffTime is the same limit after a decode engine has requested backoff: the engine has already
	// reserved memory for the run. It is half of the time for which engines in backoff still accept requests
	// that were already on their way (0.5 s).
	maxBackoffTime = 250 * time.Millisecond
	// prefillTimeoutShare is the share of the objective after which an alternative to the prefill at an unresponsive
	// engine is sought, if there is no estimate of its duration.
	prefillTimeoutShare = 0.7
	// expectedPrefillFactor and shortestPrefillTimeout determine the timeout of a prefill whose duration the
	// coordinator has estimated. A second prefill of a prompt wastes the first one and lengthens the queues,
	// so the timeout lies well above the variation of the estimates.
	expectedPrefillFactor  = 2
	shortestPrefillTimeout = 500 * time.Millisecond
)

// generate serves a request at engines: memory is reserved, the prompt is prefilled, and the output of the
// decode engine is relayed. If a stream breaks off and may be resumed, another engine of its version continues it. If an engine
// is unresponsive for too long, another one continues its stream once it is ready to.
func (x *exchange) generate(ctx context.Context, profile *routing.EngineProfile) error {
	defer func() { x.freeKeptPrompt(ctx) }()
	x.beginAtPublished()
	stream := &streamRelay{exchange: x, profile: profile, lastID: x.request.Generation.LastEventID, avoid: map[string]bool{}}
	var next *preparedRun
	for {
		response, reserved, err := x.start(ctx, stream, next)
		if err != nil {
			return err
		}
		err = stream.relay(ctx, response, reserved)
		isOver := err == nil || stream.isFailure || contextFailure(ctx) != nil || isReason(err, ReasonCallerDisconnected)
		if !isOver {
			next = x.takeStandby(ctx, reserved, stream)
			reserved.rejection = x.failureRejection(reserved.entry, reserved.sent)
			x.handler.logWasted(x, reserved.entry.Backend().ID, wasteStreamBroken)
			x.reportBreak(ctx, reserved, next != nil)
		}
		reserved.close(err == nil, stream.events, profile.EventTokens)
		if isOver {
			return err
		}
		reserved.entry.RecordFailure()
		stream.avoid[reserved.entry.Backend().ID] = true
		if next == nil {
			if unavailable := x.mayContinue(ctx, stream); unavailable != nil {
				return errors.CombineErrors(err, unavailable)
			}
		}
		x.handler.logRetry(x, err)
	}
}

// errMayNotResume means that a stream may not continue at another engine.
var errMayNotResume = errors.New("gateway: the stream may not continue at another engine")

// mayContinue returns why a stream that broke off may not continue at another engine, or nil.
func (x *exchange) mayContinue(ctx context.Context, stream *streamRelay) error {
	if !x.mayResume() {
		return errMayNotResume
	}
	return x.requireVersionOf(ctx, stream)
}

// requireVersionOf constrains the next run to the version at which a stream that broke off began, if any of its events has
// been passed on.
func (x *exchange) requireVersionOf(ctx context.Context, stream *streamRelay) error {
	if stream.events == 0 {
		return nil
	}
	origin := x.origin
	if confirmed := x.confirmedOrigin.Load(); confirmed != nil {
		origin = *confirmed
	}
	version, err := x.knownVersionOf(ctx, origin)
	if err != nil {
		return err
	}
	x.version = backend.RequireVersion(version)
	return nil
}

// mayResume reports whether a stream that broke off may continue at another engine.
func (x *exchange) mayResume() bool {
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts {
		return false
	}
	return x.mayStartRun()
}

// preparedRun is a run that can start at once: memory is reserved at a decode engine, and the prompt is prefilled.
type preparedRun struct {
	reserved *reservedEngine
	// prompt is nil if the decode engine is to prefill it.
	prompt *prefilledPrompt
	// events are the events of the stream that had been passed on when the run was prepared.
	events int
}

// prepareRun reserves memory at a decode engine and has the prompt prefilled.
func (x *exchange) prepareRun(ctx context.Context, profile *routing.EngineProfile, avoid map[string]bool) (*preparedRun, error) {
	reserved, err := x.reserve(ctx, profile, avoid)
	if err != nil {
		return nil, err
	}
	x.timings.reserved = x.sinceArrival()
	prompt, err := x.promptIfSendable(ctx, reserved)
	if err != nil {
		x.release(ctx, reserved)
		return nil, err
	}
	return &preparedRun{reserved: reserved, prompt: prompt}, nil
}

// promptIfSendable returns the prompt for a run, unless the request must not be sent any more.
func (x *exchange) promptIfSendable(ctx context.Context, reserved *reservedEngine) (*prefilledPrompt, error) {
	if err := x.checkSendable(); err != nil {
		return nil, err
	}
	return x.promptFor(ctx, reserved)
}

// discardRun frees a prepared run that is not started.
func (x *exchange) discardRun(ctx context.Context, prepared *preparedRun) {
	x.discard(ctx, prepared.prompt, wasteNotNeeded)
	x.release(ctx, prepared.reserved)
}

// start starts the run at a decode engine: that of the prepared run, unless it is nil. Engines that reject the run are
// replaced by others while the retry budget lasts.
func (x *exchange) start(ctx context.Context, stream *streamRelay, next *preparedRun) (*Response, *reservedEngine, error) {
	for prefills := 1; ; prefills++ {
		prepared := next
		if prepared == nil {
			var err error
			if prepared, err = x.prepareRun(ctx, stream.profile, stream.avoid); err != nil {
				return nil, nil, err
			}
		}
		response, err := x.startPrepared(ctx, prepared, stream)
		reserved := prepared.reserved
		if err == nil {
			return response, reserved, nil
		}
		var failed *attemptError
		isFinal := !errors.As(err, &failed)
		if !isFinal {
			next = x.takeStandby(ctx, reserved, stream)
			isFinal = next == nil && (prefills >= maxPrefills || !x.mayStartAgain(failed))
		}
		x.release(ctx, reserved)
		if isFinal {
			return nil, nil, err
		}
		if failed.ran {
			stream.avoid[reserved.entry.Backend().ID] = true
		}
		x.handler.logRetry(x, err)
	}
}

// mayStartAgain reports whether a run that has not started may start at another engine.
func (x *exchange) mayStartAgain(failed *attemptError) bool {
	if failed.ran {
		return x.mayResume()
	}
	if x.keptPrompt != nil {
		return x.maySendRun()
	}
	return x.mayStartRun()
}

// startPrepared starts a prepared run.
func (x *exchange) startPrepared(ctx context.Context, prepared *preparedRun, stream *streamRelay) (*Response, error) {
	reserved, prompt := prepared.reserved, prepared.prompt
	options := DecodeOptions{Reservation: &reserved.reservation, LastEventID: stream.lastID}
	if prompt != nil {
		options.Prefill = &prompt.result
	}
	x.target = reserved.entry.Backend().ID
	if reserved.entry.LeavingFor() > maxLeavingTime {
		x.keepPrompt(ctx, prompt, wasteEngineLeft)
		return nil, &attemptError{failure: notRun(ReasonBackendLeft, rejectedRetryAfter, nil)}
	}
	if reserved.entry.BackingOffFor() > maxBackoffTime {
		x.keepPrompt(ctx, prompt, wasteEngineBackoff)
		return nil, &attemptError{failure: notRun(ReasonBackoff, rejectedRetryAfter, nil)}
	}
	if err := x.checkSendable(); err != nil {
		x.discard(ctx, prompt, wasteNotSent)
		return nil, err
	}
	if rejection := x.runRejection(nil); rejection != nil {
		x.discard(ctx, prompt, wasteNotSent)
		return nil, rejection
	}
	call := x.watchRun(ctx, reserved, stream)
	x.abandon = func() { reserved.close(false, 0, 0) }
	reserved.sent = time.Now()
	response, err := x.handler.options.Dialect.Decode(call, reserved.entry.Backend(), x.request, x.left(), options)
	reserved.failover.pause()
	if err != nil {
		x.discard(ctx, prompt, wasteDecodeFailed)
		return nil, x.decodeFailed(ctx, reserved, err)
	}
	x.countRun()
	x.recordVia(response.Via)
	if response.Misdirected {
		x.recordMisdirected(reserved.entry, response)
	}
	if response.NotRun || response.Misdirected {
		_ = response.Body.Close()
		if reserved.entry.BackoffRemaining() == 0 {
			reserved.rejection = coordinator.RejectionUnavailable
		}
		x.keepPrompt(ctx, prompt, wasteDecodeRejected)
		return nil, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	}
	x.runs++
	reserved.responded = true
	if !x.confirmIncarnation(ctx, reserved) {
		// The engine may have restarted while the prompt was prefilled. None of its events has been passed on.
		_ = response.Body.Close()
		return nil, &attemptError{failure: unknown(ReasonVersionUnavailable, errOutdatedEntry), arrived: true, ran: true}
	}
	if stream.lastID != "" {
		x.handler.logContinued(x, reserved.entry.Backend(), stream.lastID)
	}
	x.returnRetries(x.arrivals)
	reserved.failover.resume(x.firstEventLimit(reserved))
	return response, nil
}

// decodeFailed returns the error for a decode call that returned no response.
func (x *exchange) decodeFailed(ctx context.Context, reserved *reservedEngine, err error) error {
	if !errors.Is(err, ErrNotSent) {
		x.countRun()
		x.runs++
	}
	if failure := contextFailure(ctx); failure != nil {
		return failure
	}
	reserved.entry.RecordFailure()
	reserved.rejection = x.failureRejection(reserved.entry, reserved.sent)
	if errors.Is(err, ErrNotSent) {
		return &attemptError{failure: notRun(ReasonBackendFailed, rejectedRetryAfter, err)}
	}
	x.reportBreak(ctx, reserved, errors.Is(err, ErrUnresponsive))
	return &attemptError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// prefill has the prompt prefilled. A prefill does not run the request, so another engine may be used after
// any failure.
func (x *exchange) prefill(ctx context.Context, reserved *reservedEngine) (*PrefillResult, *backend.Entry, error) {
	attempted := map[string]bool{}
	for {
		entry := x.prefillEngine(reserved, attempted)
		if entry == nil {
			return nil, nil, notRun(ReasonPrefillFailed, rejectedRetryAfter, nil)
		}
		attempted[entry.Backend().ID] = true
		result, err := x.prefillAt(ctx, entry, reserved, attempted)
		if err == nil {
			reserved.reportPrefilled(entry.Backend().ID)
			x.timings.prefilled = x.sinceArrival()
			return result, entry, nil
		}
		if failure := contextFailure(ctx); failure != nil {
			return nil, nil, failure
		}
		if rejection := x.checkSendable(); rejection != nil {
			return nil, nil, rejection
		}
		if len(attempted) >= maxPrefills || !x.mayStartRun() {
			return nil, nil, notRun(ReasonPrefillFailed, rejectedRetryAfter, err)
		}
		if !errors.Is(err, ErrLimited) {
			x.handler.logRetry(x, err)
		}
	}
}

// prefillEngine returns the assigned prefill engine, or another one if that engine cannot be used or has been
// attempted. The engine has the software version of the decode engine: what two versions write does not fit together.
func (x *exchange) prefillEngine(reserved *reservedEngine, attempted map[string]bool) *backend.Entry {
	excluded := exclusions{attempted, backend.RequireVersion(reserved.version)}
	if len(attempted) == 0 && reserved.prefillEngine != "" {
		entry := x.handler.options.Backends.Lookup(reserved.prefillEngine)
		if entry != nil && entry.TakesWork() && entry.BackoffRemaining() == 0 && !excluded.contains(entry) {
			return entry
		}
	}
	return x.handler.pick(x.service, backend.RolePrefill, excluded)
}

// prefillLimit returns how long a prefill may take until an alternative is sought, given its expected duration.
func prefillLimit(expected time.Duration) time.Duration {
	return expectedPrefillFactor*expected + shortestPrefillTimeout
}

// prefillTimeout returns how long an engine may take to prefill the prompt until an alternative is sought.
func (x *exchange) prefillTimeout(entry *backend.Entry, reserved *reservedEngine) time.Duration {
	if reserved.expectedPrefill > 0 && entry.Backend().ID == reserved.prefillEngine {
		return prefillLimit(reserved.expectedPrefill)
	}
	return max(shortestPrefillTimeout, time.Duration(float64(x.route.Objective)*prefillTimeoutShare))
}

// alternativePrefill is what a request may do instead of waiting for a prefill engine that is unresponsive.
type alternativePrefill struct{}

// prepareAlternativePrefill reports whether there is something better than to wait for a prefill engine that is unresponsive: another
// prefill engine or the decode engine, with the retry budget for it, or else a rejection, once its caller would no longer wait for
// the first event.
func (x *exchange) prepareAlternativePrefill(reserved *reservedEngine, attempted map[string]bool) (*alternativePrefill, error) {
	// The call to the unresponsive engine has not been counted yet.
	after := x.arrivals.withPrefill()
	if len(attempted) < maxPrefills && x.prefillEngine(reserved, attempted) != nil {
		after = after.withPrefill()
		after.prefilled = true
	}
	if x.maySend(after.withRun()) || x.remainingWait() <= 0 {
		return &alternativePrefill{}, nil
	}
	return nil, errNoAlternative
}

// prefillAt has one engine prefill the prompt. The attempted engines include it.
func (x *exchange) prefillAt(ctx context.Context, entry *backend.Entry, reserved *reservedEngine, attempted map[string]bool) (*PrefillResult, error) {
	x.target = entry.Backend().ID
	end := entry.Begin()
	defer end()
	if rejection := x.prefillRejection(); rejection != nil {
		return nil, rejection
	}
	call, watch := startFailover(ctx, x.prefillTimeout(entry, reserved), failoverOptions[alternativePrefill]{
		panicked: x.panicked,
		prepare: func(context.Context) (*alternativePrefill, error) {
			return x.prepareAlternativePrefill(reserved, attempted)
		},
	})
	defer watch.stop()
	sent := time.Now()
	result, response, err := x.handler.options.Dialect.Prefill(call, entry.Backend(), x.request, x.left())
	timedOut := watch.take() != nil
	if !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrLimited) {
		x.countPrefill(result != nil)
	}
	if result != nil {
		x.recordVia(result.Via)
	}
	switch {
	case errors.Is(err, ErrLimited):
		return nil, err
	case err != nil && ctx.Err() != nil:
		return nil, err
	case err != nil:
		entry.RecordFailure()
		reserved.reportPrefillFailure(entry, sent, timedOut)
		if timedOut {
			x.handler.logWasted(x, entry.Backend().ID, wastePrefillTimeout)
		}
		if !errors.Is(err, ErrNotSent) {
			x.reportBroken(ctx, entry, brokenRequest{age: time.Since(sent), unresponsive: timedOut})
		}
		return nil, err
	case result == nil && response.Misdirected:
		x.recordMisdirected(entry, response)
		reserved.reportPrefillFailure(entry, sent, false)
		return nil, errors.Newf("prefill rejected with status %d", response.Status)
	case result == nil && response.NotRun:
		entry.MarkFull(fullDuration)
		return nil, errors.Newf("prefill rejected with status %d", response.Status)
	case result == nil:
		entry.RecordFailure()
		reserved.reportPrefillFailure(entry, sent, false)
		return nil, errors.Newf("prefill failed with status %d", response.Status)
	}
	return result, nil
}

// streamRelay relays the events of one stream, over all engines that serve it.
type streamRelay struct {
	exchange *exchange
	profile  *routing.EngineProfile
	// avoid are the engines at which the stream must not continue.
	avoid map[string]bool
	// lastID is the identifier of the last relayed event.
	lastID string
	// events counts the relayed events.
	events int
	// isFailure is set once a failure of an engine is passed on: nothing can continue its body.
	isFailure bool
	// lastAt is when the last event was relayed, measured from the request's arrival.
	lastAt time.Duration
}

// recordEvent records the timings of a relayed event.
func (s *streamRelay) recordEvent(id string, reserved *reservedEngine) {
	if reserved.firstEvent == 0 {
		reserved.firstEvent = time.Since(reserved.reservedAt)
		if !reserved.localPrefill {
			s.exchange.handler.firstEvents.observe(s.exchange.service, time.Since(reserved.sent))
		}
	}
	if reserved.localPrefill {
		reserved.localPrefill = false
		reserved.reportPrefilled(reserved.entry.Backend().ID)
	}
	timings := &s.exchange.timings
	now := s.exchange.sinceArrival()
	if timings.firstEvent == 0 {
		timings.firstEvent = now
	} else {
		timings.pause = max(timings.pause, now-s.lastAt)
	}
	s.lastAt = now
	s.events++
	reserved.events++
	if id != "" {
		s.lastID = id
	}
}

// relay passes on complete events until the stream ends.
func (s *streamRelay) relay(ctx context.Context, response *Response, reserved *reservedEngine) error {
	x := s.exchange
	defer func() { _ = response.Body.Close() }()
	if response.Status != http.StatusOK {
		reserved.failover.pause()
		if promisesNotRun(response.Status) {
			return unknown(ReasonBackendFailed, errors.Newf("status %d", response.Status))
		}
		if x.answered {
			return unknown(ReasonStreamBroken, errors.Newf("resumed with status %d", response.Status))
		}
		if _, err := buffer(response); err != nil {
			return unknown(ReasonBackendFailed, err)
		}
		s.isFailure = true
		return x.relay(response)
	}
	flusher := http.NewResponseController(x.writer)
	events := newEventReader(response.Body)
	for {
		event, err := events.next()
		reserved.failover.pause()
		if err != nil {
			if failure := contextFailure(ctx); failure != nil {
				return failure
			}
			return unknown(ReasonStreamBroken, err)
		}
		if event == nil {
			if !x.answered {
				x.writeHead(response)
			}
			x.recordAnswered()
			return nil
		}
		if !x.answered {
			x.writeHead(response)
		}
		if s.events == 0 {
			x.beginStream(reserved)
		}
		if _, err := x.writer.Write(event.bytes); err != nil {
			return writeFailure(ReasonCallerDisconnected, err)
		}
		if err := flusher.Flush(); err != nil {
			return writeFailure(ReasonCallerDisconnected, err)
		}
		s.recordEvent(event.id, reserved)
		reserved.failover.resume(x.pauseLimit())
	}
}
