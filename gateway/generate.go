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
	// maxPrefills bounds how often the prompt of one request is read.
	maxPrefills = 3
	// leavingLimit is how long after a decode engine was reported to leave an answer is still
	// begun there, because its prompt was being read. It is half of the shortest time that
	// engines serve on (2 s on the sites' sheets).
	leavingLimit = time.Second
	// backoffLimit is the same after a decode engine has asked for backoff: it has set memory aside for
	// this answer. It is half of the time in which engines still expect what is on its way (0.5 s).
	backoffLimit = 250 * time.Millisecond
	// prefillTimeoutShare is the share of the objective after which a prefill engine that
	// says nothing is given up, where nothing is known of the time that it needs.
	prefillTimeoutShare = 0.7
	// expectedPrefillFactor and shortestPrefillTimeout give that time where the coordinator
	// expects an answer: a prompt that is read twice is read for nothing once, and makes the
	// queues longer, so that the time lies well above the spread of what is expected.
	expectedPrefillFactor  = 2
	shortestPrefillTimeout = 500 * time.Millisecond
)

// generate serves a request by engines: memory is reserved, the prompt is read,
// and the answer is relayed, from another engine where one breaks off and the
// stream may be resumed.
func (x *exchange) generate(ctx context.Context, profile *routing.EngineProfile) error {
	defer func() { x.freeKeptPrompt(ctx) }()
	relayed := &streamRelay{exchange: x, lastID: x.request.Generation.LastEventID}
	avoid := map[string]bool{}
	for {
		answer, taken, err := x.start(ctx, profile, relayed.lastID, avoid)
		if err != nil {
			return err
		}
		err = relayed.relay(ctx, answer, taken)
		if err != nil && ended(ctx) == nil && !isReason(err, ReasonCallerLeft) {
			taken.refusal = coordinator.RefusalFailed
			x.handler.logWasted(x, taken.entry.Backend().ID, wasteStreamBroken)
			x.brokeOff(ctx, taken.entry, time.Since(taken.sent))
		}
		taken.close(err == nil, relayed.events, profile.EventTokens)
		if err == nil || ended(ctx) != nil || isReason(err, ReasonCallerLeft) {
			return err
		}
		taken.entry.RecordFailure()
		avoid[taken.entry.Backend().ID] = true
		if !x.mayResume() {
			return err
		}
		x.handler.logRetry(x, err)
	}
}

// mayResume reports whether a stream that broke off may go on elsewhere.
func (x *exchange) mayResume() bool {
	if !x.route.Resumable || x.runs >= x.route.MaxAttempts {
		return false
	}
	return x.mayStartRun()
}

// start has an answer begin at a decode engine. Engines that refuse are replaced
// by others while the retry budget lasts.
func (x *exchange) start(ctx context.Context, profile *routing.EngineProfile, lastID string, avoid map[string]bool) (*Answer, *reservedEngine, error) {
	for prefills := 1; ; prefills++ {
		taken, err := x.reserve(ctx, profile, avoid)
		if err != nil {
			return nil, nil, err
		}
		x.timings.reserved = x.since()
		answer, err := x.startAt(ctx, taken, lastID)
		if err == nil {
			return answer, taken, nil
		}
		x.release(ctx, taken)
		var failed *tryError
		if !errors.As(err, &failed) || prefills >= maxPrefills || !x.mayStartAgain(failed) {
			return nil, nil, err
		}
		if failed.ran {
			avoid[taken.entry.Backend().ID] = true
		}
		x.handler.logRetry(x, err)
	}
}

// mayStartAgain reports whether an answer that has not begun may begin at another engine.
func (x *exchange) mayStartAgain(failed *tryError) bool {
	if failed.ran {
		return x.mayResume()
	}
	if x.kept != nil {
		return x.maySendRun()
	}
	return x.mayStartRun()
}

// startAt reads the prompt and begins the answer at the engine of a reservation.
func (x *exchange) startAt(ctx context.Context, taken *reservedEngine, lastID string) (*Answer, error) {
	if err := x.admissible(); err != nil {
		return nil, err
	}
	options := DecodeOptions{Reservation: &taken.reservation, LastEventID: lastID}
	prompt, err := x.promptFor(ctx, taken)
	if err != nil {
		return nil, err
	}
	if prompt != nil {
		options.Prefill = &prompt.result
	}
	x.target = taken.entry.Backend().ID
	if taken.entry.LeavingFor() > leavingLimit {
		x.keepPrompt(ctx, prompt, wasteEngineLeft)
		return nil, &tryError{failure: notRun(ReasonBackendLeft, retryShed, nil)}
	}
	if taken.entry.BackingOffFor() > backoffLimit {
		x.keepPrompt(ctx, prompt, wasteEngineBackoff)
		return nil, &tryError{failure: notRun(ReasonBackoff, retryShed, nil)}
	}
	if err := x.admissible(); err != nil {
		x.discard(ctx, prompt, wasteNotSent)
		return nil, err
	}
	if refused := x.runRefusal(nil); refused != nil {
		x.discard(ctx, prompt, wasteNotSent)
		return nil, refused
	}
	watched := x.watchDecode(ctx, taken)
	taken.sent = time.Now()
	answer, err := x.handler.options.Dialect.Decode(watched, taken.entry.Backend(), x.request, x.left(), options)
	if err != nil {
		x.discard(ctx, prompt, wasteDecodeFailed)
		return nil, x.decodeFailed(ctx, taken, err)
	}
	x.runArrived()
	if answer.Misdirected {
		x.misdirected(taken.entry, answer)
	}
	if answer.NotRun || answer.Misdirected {
		_ = answer.Body.Close()
		if taken.entry.BackoffRemaining() == 0 {
			taken.refusal = coordinator.RefusalUnavailable
		}
		x.keepPrompt(ctx, prompt, wasteDecodeRefused)
		return nil, &tryError{failure: notRun(ReasonBackendRefused, retryShed, nil), arrived: true}
	}
	x.runs++
	return answer, nil
}

// decodeFailed is the error of a decode engine that gave no answer.
func (x *exchange) decodeFailed(ctx context.Context, taken *reservedEngine, err error) error {
	if !errors.Is(err, ErrNotSent) {
		x.runArrived()
		x.runs++
	}
	if failure := ended(ctx); failure != nil {
		return failure
	}
	taken.entry.RecordFailure()
	taken.refusal = coordinator.RefusalFailed
	if errors.Is(err, ErrNotSent) {
		return &tryError{failure: notRun(ReasonBackendFailed, retryShed, err)}
	}
	x.brokeOff(ctx, taken.entry, time.Since(taken.sent))
	return &tryError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// prefill has the prompt read. Reading it runs nothing, so that another engine
// may be asked after any failure.
func (x *exchange) prefill(ctx context.Context, taken *reservedEngine) (*PrefillResult, *backend.Entry, error) {
	tried := map[string]bool{}
	for {
		entry := x.prefillEngine(taken, tried)
		if entry == nil {
			return nil, nil, notRun(ReasonPrefillFailed, retryShed, nil)
		}
		tried[entry.Backend().ID] = true
		result, err := x.prefillAt(ctx, entry, taken)
		if err == nil {
			taken.promptRead(entry.Backend().ID)
			x.timings.prefill = x.since()
			return result, entry, nil
		}
		if failure := ended(ctx); failure != nil {
			return nil, nil, failure
		}
		if refused := x.admissible(); refused != nil {
			return nil, nil, refused
		}
		if len(tried) >= maxPrefills || !x.mayStartRun() {
			return nil, nil, notRun(ReasonPrefillFailed, retryShed, err)
		}
		x.handler.logRetry(x, err)
	}
}

// prefillEngine returns the engine that was assigned, or another one once that
// has been tried.
func (x *exchange) prefillEngine(taken *reservedEngine, tried map[string]bool) *backend.Entry {
	if len(tried) == 0 && taken.prefillEngine != "" {
		entry := x.handler.options.Backends.Lookup(taken.prefillEngine)
		if entry != nil && entry.TakesWork() && entry.BackoffRemaining() == 0 {
			return entry
		}
	}
	return x.handler.pick(x.service, backend.RolePrefill, tried)
}

// prefillLimit returns how long an engine may take to read a prompt, given what is expected.
func prefillLimit(expected time.Duration) time.Duration {
	return expectedPrefillFactor*expected + shortestPrefillTimeout
}

// prefillTimeout returns how long an engine may take to read the prompt.
func (x *exchange) prefillTimeout(entry *backend.Entry, taken *reservedEngine) time.Duration {
	if taken.promptReady > 0 && entry.Backend().ID == taken.prefillEngine {
		return prefillLimit(taken.promptReady)
	}
	return max(shortestPrefillTimeout, time.Duration(float64(x.route.Objective)*prefillTimeoutShare))
}

// prefillAt has the prompt read by one engine.
func (x *exchange) prefillAt(ctx context.Context, entry *backend.Entry, taken *reservedEngine) (*PrefillResult, error) {
	x.target = entry.Backend().ID
	end := entry.Begin()
	defer end()
	limited, cancel := context.WithTimeout(ctx, x.prefillTimeout(entry, taken))
	defer cancel()
	if refused := x.promptRefusal(); refused != nil {
		return nil, refused
	}
	sent := time.Now()
	result, answer, err := x.handler.options.Dialect.Prefill(limited, entry.Backend(), x.request, x.left())
	if !errors.Is(err, ErrNotSent) {
		x.promptArrived(result != nil)
	}
	switch {
	case err != nil && ctx.Err() != nil:
		return nil, err
	case err != nil:
		entry.RecordFailure()
		taken.prefillFailed(entry.Backend().ID, limited.Err() != nil)
		if limited.Err() != nil {
			x.handler.logWasted(x, entry.Backend().ID, wasteReadingGivenUp)
		}
		if !errors.Is(err, ErrNotSent) {
			x.brokeOff(ctx, entry, time.Since(sent))
		}
		return nil, err
	case result == nil && answer.Misdirected:
		x.misdirected(entry, answer)
		taken.prefillFailed(entry.Backend().ID, false)
		return nil, errors.Newf("prefill refused with status %d", answer.Status)
	case result == nil && answer.NotRun:
		entry.MarkFull(fullMemory)
		return nil, errors.Newf("prefill refused with status %d", answer.Status)
	case result == nil:
		entry.RecordFailure()
		taken.prefillFailed(entry.Backend().ID, false)
		return nil, errors.Newf("prefill failed with status %d", answer.Status)
	}
	return result, nil
}

// streamRelay passes the events of one stream on, over all engines that it is
// served by.
type streamRelay struct {
	exchange *exchange
	// lastID is the identifier of the last event passed on.
	lastID string
	// events counts those passed on.
	events int
	// lastAt is when the last event was passed on, counted from the request's arrival.
	lastAt time.Duration
}

// passedOn takes note of an event.
func (s *streamRelay) passedOn(id string, taken *reservedEngine) {
	if taken.first == 0 {
		taken.first = time.Since(taken.taken)
		if !taken.readsItself {
			s.exchange.handler.firstEvents.observe(s.exchange.service, time.Since(taken.sent))
		}
	}
	if taken.readsItself {
		taken.readsItself = false
		taken.promptRead(taken.entry.Backend().ID)
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
	taken.events++
	taken.silence.heard(s.exchange.pauseLimit())
	if id != "" {
		s.lastID = id
	}
}

// relay passes on whole events until the stream ends.
func (s *streamRelay) relay(ctx context.Context, answer *Answer, taken *reservedEngine) error {
	x := s.exchange
	defer func() { _ = answer.Body.Close() }()
	if answer.Status != http.StatusOK {
		if isPromise(answer.Status) {
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
			if failure := ended(ctx); failure != nil {
				return failure
			}
			return unknown(ReasonStreamBroken, err)
		}
		if event == nil {
			if !x.answered {
				x.writeHead(answer)
			}
			x.ranToEnd()
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
		s.passedOn(event.id, taken)
	}
}
