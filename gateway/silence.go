package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minFirstEventLimit bounds from below how long a decode engine may be silent after the prefill if the
	// answer can start at another engine. On the sites' engines the first event takes some ten
	// milliseconds, and fetching the prompt as much; the limit leaves enough time for another engine within
	// most objectives.
	minFirstEventLimit = 400 * time.Millisecond
	// firstEventFactor is how many times the mean first-event time an engine may be silent.
	firstEventFactor = 4
	// initialFirstEventLimit is the limit before minFirstEvents answers have been observed. It is below the
	// two seconds after which callers disconnect.
	initialFirstEventLimit = 1500 * time.Millisecond
	minFirstEvents         = 10
	// firstEventWeight is the weight of one answer in the mean.
	firstEventWeight = 0.1
	// pauseLimitFactor is how many times the longest pause that is in time an engine may be silent within a
	// stream that can continue at another engine.
	pauseLimitFactor = 3
	// minPauseLimit bounds that from below, if the route sets no longest pause.
	minPauseLimit = time.Second
)

// errSilent is the cause of an answer abandoned because its engine was silent for too long.
var errSilent = errors.New("gateway: engine is silent")

// silenceWatch ends an answer whose engine is silent for too long. A nil watch does nothing.
type silenceWatch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watchSilence returns a context that ends with errSilent once the limit has passed since the last call of
// reset. Stop must be called.
func watchSilence(ctx context.Context, limit time.Duration) (context.Context, *silenceWatch) {
	watched, cancel := context.WithCancelCause(ctx)
	watch := &silenceWatch{cancel: cancel}
	watch.timer = time.AfterFunc(limit, func() { cancel(errSilent) })
	return watched, watch
}

// reset restarts the timer with another limit.
func (w *silenceWatch) reset(limit time.Duration) {
	if w != nil {
		w.timer.Reset(limit)
	}
}

// stop ends the watch and its context.
func (w *silenceWatch) stop() {
	if w != nil {
		w.timer.Stop()
		w.cancel(nil)
	}
}

// pauseLimit returns how long an engine may be silent within a stream.
func (x *exchange) pauseLimit() time.Duration {
	return max(minPauseLimit, pauseLimitFactor*x.route.MaxPause)
}

// firstEvents tracks the mean time to the first event of an answer, by service. It is safe for concurrent
// use.
type firstEvents struct {
	mu        sync.Mutex
	byService map[string]firstEventTime
}

type firstEventTime struct {
	answers int
	mean    time.Duration
}

// observe records one answer.
func (e *firstEvents) observe(service string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byService == nil {
		e.byService = map[string]firstEventTime{}
	}
	stats := e.byService[service]
	stats.answers++
	// The first answers have equal weights.
	weight := max(firstEventWeight, 1/float64(stats.answers))
	stats.mean += time.Duration(weight * float64(took-stats.mean))
	e.byService[service] = stats
}

// limit returns how long an engine of a service may be silent before its first event.
func (e *firstEvents) limit(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.byService[service]
	if stats.answers < minFirstEvents {
		return initialFirstEventLimit
	}
	return max(minFirstEventLimit, firstEventFactor*stats.mean)
}

// watchDecode watches an engine that is about to answer, if the answer could start at another engine.
func (x *exchange) watchDecode(ctx context.Context, reserved *reservedEngine) context.Context {
	if !x.route.Resumable || x.runs+1 >= x.route.MaxAttempts {
		return ctx
	}
	limit := x.handler.firstEvents.limit(x.service)
	if reserved.localPrefill {
		limit += prefillLimit(reserved.expectedPrefill)
	}
	watched, watch := watchSilence(ctx, limit)
	reserved.silence = watch
	return watched
}
