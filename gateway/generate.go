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
	// maxPrefills bounds the prefills of one request.
	maxPrefills = 3
	// maxLeavingTime is for how long after a decode engine was reported leaving an answer still starts
	// there, because its prompt was being prefilled. It is half of the shortest time for which engines
	// continue to serve (2 s on the supported deployments).
	maxLeavingTime = time.Second
	// maxBackoffTime is the same after a decode engine has requested backoff: it has reserved memory for
	// this answer. It is half of the time in which engines still accept requests under way (0.5 s).
	maxBackoffTime = 250 * time.Millisecond
	// prefillTimeoutShare is the share of the objective after which the prefill is abandoned at a silent
	// engine, if no estimate of its duration is available.
	prefillTimeoutShare = 0.7
	// expectedPrefillFactor and shortestPrefillTimeout give that timeout if the coordinator expects a
	// duration. A second prefill of a prompt wastes the first one and lengthens the queues, so the timeout
	// lies well above the variation of the expected duration.
	expectedPrefillFactor  = 2
	shortestPrefillTimeout = 500 * time.Millisecond
)

// generate serves a request by engines: memory is reserved, the prompt is prefilled, and the answer is
// relayed. If a stream breaks off and may be resumed, another engine continues it.
func (x *exchange) generate(ctx context.Context, profile *routing.EngineProfile) error {
	defer func() { x.freeKeptPrompt(ctx) }()
	relayed := &streamRelay{exchange: x, lastID: x.request.Generation.LastEventID}
	avoid := map[string]bool{}
	for {
		answer, reserved, err := x.start(ctx, profile, relayed.lastID, avoid)
		if err != nil {
			return err
		}
		err = relayed.relay(ctx, answer, reserved)
		if err != nil && contextFailure(ctx) == nil && !isReason(err, ReasonCallerLeft) {
			reserved.refusal = coordinator.RefusalFailed
			x.handler.logWasted(x, reserved.entry.Backend().ID, wasteStreamBroken)
			x.reportBreak(ctx, reserved.entry, time.Since(reserved.sent))
		}
		reserved.close(err == nil, relayed.events, profile.EventTokens)
		if err == nil || contextFailure(ctx) != nil || isReason(err, ReasonCallerLeft) {
			return err
		}
		reserved.entry.RecordFailure()
		avoid[reserved.entry.Backend().ID] = true
		if !x.mayResume() {
			return err
		}
		x.handler.logRetry(x, err)
	}
}

// mayResume reports whether a stream that broke off may continue at another engine.
func (x *exchange) mayResume() bool {
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts {
		return false
	}
	return x.mayStartRun()
}

// start starts an answer at a decode engine. Engines that reject it are replaced by others while the retry
// budget lasts.
func (x *exchange) start(ctx context.Context, profile *routing.EngineProfile, lastID string, avoid map[string]bool) (*Response, *reservedEngine, error) {
	for prefills := 1; ; prefills++ {
		reserved, err := x.reserve(ctx, profile, avoid)
		if err != nil {
			return nil, nil, err
		}
		x.timings.reserved = x.since()
		answer, err := x.startAt(ctx, reserved, lastID)
		if err == nil {
			return answer, reserved, nil
		}
		x.release(ctx, reserved)
		var failed *attemptError
		if !errors.As(err, &failed) || prefills >= maxPrefills || !x.mayStartAgain(failed) {
			return nil, nil, err
		}
		if failed.ran {
			avoid[reserved.entry.Backend().ID] = true
		}
		x.handler.logRetry(x, err)
	}
}

// mayStartAgain reports whether an answer that has not started may start at another engine.
func (x *exchange) mayStartAgain(failed *attemptError) bool {
	if failed.ran {
		return x.mayResume()
	}
	if x.keptPrompt != nil {
		return x.maySendRun()
	}
	return x.mayStartRun()
}

// startAt prefills the prompt and starts the answer at the engine of a reservation.
func (x *exchange) startAt(ctx context.Context, reserved *reservedEngine, lastID string) (*Response, error) {
	if err := x.checkSendable(); err != nil {
		return nil, err
	}
	options := DecodeOptions{Reservation: &reserved.reservation, LastEventID: lastID}
	prompt, err := x.promptFor(ctx, reserved)
	if err != nil {
		return nil, err
	}
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
	if refused := x.runRefusal(nil); refused != nil {
		x.discard(ctx, prompt, wasteNotSent)
		return nil, refused
	}
	watched := x.watchDecode(ctx, reserved)
	reserved.sent = time.Now()
	answer, err := x.handler.options.Dialect.Decode(watched, reserved.entry.Backend(), x.request, x.left(), options)
	if err != nil {
		x.discard(ctx, prompt, wasteDecodeFailed)
		return nil, x.decodeFailed(ctx, reserved, err)
	}
	x.countRun()
	if answer.Misdirected {
		x.recordMisdirected(reserved.entry, answer)
	}
	if answer.NotRun || answer.Misdirected {
		_ = answer.Body.Close()
		if reserved.entry.BackoffRemaining() == 0 {
			reserved.refusal = coordinator.RefusalUnavailable
		}
		x.keepPrompt(ctx, prompt, wasteDecodeRefused)
		return nil, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	}
	x.runs++
	return answer, nil
}

// decodeFailed returns the error for a decode engine that gave no answer.
func (x *exchange) decodeFailed(ctx context.Context, reserved *reservedEngine, err error) error {
	if !errors.Is(err, ErrNotSent) {
		x.countRun()
		x.runs++
	}
	if failure := contextFailure(ctx); failure != nil {
		return failure
	}
	reserved.entry.RecordFailure()
	reserved.refusal = coordinator.RefusalFailed
	if errors.Is(err, ErrNotSent) {
		return &attemptError{failure: notRun(ReasonBackendFailed, rejectedRetryAfter, err)}
	}
	x.reportBreak(ctx, reserved.entry, time.Since(reserved.sent))
	return &attemptError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// prefill has the prompt prefilled. That runs nothing of the request, so that another engine may be used
// after any failure.
func (x *exchange) prefill(ctx context.Context, reserved *reservedEngine) (*PrefillResult, *backend.Entry, error) {
	attempted := map[string]bool{}
	for {
		entry := x.prefillEngine(reserved, attempted)
		if entry == nil {
			return nil, nil, notRun(ReasonPrefillFailed, rejectedRetryAfter, nil)
		}
		attempted[entry.Backend().ID] = true
		result, err := x.prefillAt(ctx, entry, reserved)
		if err == nil {
			reserved.reportPrefilled(entry.Backend().ID)
			x.timings.prefill = x.since()
			return result, entry, nil
		}
		if failure := contextFailure(ctx); failure != nil {
			return nil, nil, failure
		}
		if refused := x.checkSendable(); refused != nil {
			return nil, nil, refused
		}
		if len(attempted) >= maxPrefills || !x.mayStartRun() {
			return nil, nil, notRun(ReasonPrefillFailed, rejectedRetryAfter, err)
		}
		x.handler.logRetry(x, err)
	}
}

// prefillEngine returns the assigned engine, or another one once that has been attempted.
func (x *exchange) prefillEngine(reserved *reservedEngine, attempted map[string]bool) *backend.Entry {
	if len(attempted) == 0 && reserved.prefillEngine != "" {
		entry := x.handler.options.Backends.Lookup(reserved.prefillEngine)
		if entry != nil && entry.TakesWork() && entry.BackoffRemaining() == 0 {
			return entry
		}
	}
	return x.handler.pick(x.service, backend.RolePrefill, attempted)
}

// prefillLimit returns how long a prefill may take, given its expected duration.
func prefillLimit(expected time.Duration) time.Duration {
	return expectedPrefillFactor*expected + shortestPrefillTimeout
}

// prefillTimeout returns how long an engine may take to prefill the prompt.
func (x *exchange) prefillTimeout(entry *backend.Entry, reserved *reservedEngine) time.Duration {
	if reserved.expectedPrefill > 0 && entry.Backend().ID == reserved.prefillEngine {
		return prefillLimit(reserved.expectedPrefill)
	}
	return max(shortestPrefillTimeout, time.Duration(float64(x.route.Objective)*prefillTimeoutShare))
}

// prefillAt has one engine prefill the prompt.
func (x *exchange) prefillAt(ctx context.Context, entry *backend.Entry, reserved *reservedEngine) (*PrefillResult, error) {
	x.target = entry.Backend().ID
	end := entry.Begin()
	defer end()
	limited, cancel := context.WithTimeout(ctx, x.prefillTimeout(entry, reserved))
	defer cancel()
	if refused := x.prefillRefusal(); refused != nil {
		return nil, refused
	}
	sent := time.Now()
	result, answer, err := x.handler.options.Dialect.Prefill(limited, entry.Backend(), x.request, x.left())
	if !errors.Is(err, ErrNotSent) {
		x.countPrefill(result != nil)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, err
	case err != nil:
		entry.RecordFailure()
		reserved.reportPrefillFailure(entry.Backend().ID, limited.Err() != nil)
		if limited.Err() != nil {
			x.handler.logWasted(x, entry.Backend().ID, wastePrefillTimeout)
		}
		if !errors.Is(err, ErrNotSent) {
			x.reportBreak(ctx, entry, time.Since(sent))
		}
		return nil, err
	case result == nil && answer.Misdirected:
		x.recordMisdirected(entry, answer)
		reserved.reportPrefillFailure(entry.Backend().ID, false)
		return nil, errors.Newf("prefill refused with status %d", answer.Status)
	case result == nil && answer.NotRun:
		entry.MarkFull(fullDuration)
		return nil, errors.Newf("prefill refused with status %d", answer.Status)
	case result == nil:
		entry.RecordFailure()
		reserved.reportPrefillFailure(entry.Backend().ID, false)
		return nil, errors.Newf("prefill failed with status %d", answer.Status)
	}
	return result, nil
}

// streamRelay relays the events of one stream, over all engines that serve it.
type streamRelay struct {
	exchange *exchange
	// lastID is the identifier of the last relayed event.
	lastID string
	// events counts the relayed events.
	events int
	// lastAt is when the last event was relayed, measured from the request's arrival.
	lastAt time.Duration
}

// recordEvent records the timings of a relayed event.
func (s *streamRelay) recordEvent(id string, reserved *reservedEngine) {
	if reserved.first == 0 {
		reserved.first = time.Since(reserved.reservedAt)
		if !reserved.localPrefill {
			s.exchange.handler.firstEvents.observe(s.exchange.service, time.Since(reserved.sent))
		}
	}
	if reserved.localPrefill {
		reserved.localPrefill = false
		reserved.reportPrefilled(reserved.entry.Backend().ID)
	}
	timings := &s.exchange.timings
	now := s.exchange.since()
	if timings.first == 0 {
		timings.first = now
	} else {
		timings.pause = max(timings.pause, now-s.lastAt)
	}
	s.lastAt = now
	s.events++
	reserved.events++
	reserved.silence.reset(s.exchange.pauseLimit())
	if id != "" {
		s.lastID = id
	}
}

// relay passes on complete events until the stream ends.
func (s *streamRelay) relay(ctx context.Context, answer *Response, reserved *reservedEngine) error {
	x := s.exchange
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		if promisesNotRun(answer.Status) {
			return unknown(ReasonBackendFailed, errors.Newf("status %d", answer.Status))
		}
		if x.answered {
			return unknown(ReasonStreamBroken, errors.Newf("resumed with status %d", answer.Status))
		}
		if err := buffer(answer); err != nil {
			return unknown(ReasonBackendFailed, err)
		}
		return x.relay(answer)
	}
	flusher := http.NewResponseController(x.writer)
	events := newEventReader(answer.Body)
	for {
		event, err := events.next()
		if err != nil {
			if failure := contextFailure(ctx); failure != nil {
				return failure
			}
			return unknown(ReasonStreamBroken, err)
		}
		if event == nil {
			if !x.answered {
				x.writeHead(answer)
			}
			x.recordAnswered()
			return nil
		}
		if !x.answered {
			x.writeHead(answer)
		}
		if _, err := x.writer.Write(event.bytes); err != nil {
			return unknown(ReasonCallerLeft, err)
		}
		if err := flusher.Flush(); err != nil {
			return unknown(ReasonCallerLeft, err)
		}
		s.recordEvent(event.id, reserved)
	}
}
