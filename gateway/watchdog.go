package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// minFirstEventLimit bounds from below how long a decode engine may be unresponsive after the prefill
	// if the run can start at another engine. On the supported deployments the first event takes about ten
	// milliseconds, and fetching the prompt as much; the limit leaves enough time for another engine within
	// most objectives.
	minFirstEventLimit = 400 * time.Millisecond
	// firstEventFactor times the mean first-event time is how long an engine may be unresponsive.
	firstEventFactor = 4
	// initialFirstEventLimit is the limit until the first events of minFirstEvents responses have been
	// observed. It is below the two seconds after which callers disconnect.
	initialFirstEventLimit = 1500 * time.Millisecond
	minFirstEvents         = 10
	// firstEventWeight is the weight of one response in the mean.
	firstEventWeight = 0.1
	// pauseLimitFactor times the longest pause of the route is how long an engine may be unresponsive within
	// a stream that can continue at another engine.
	pauseLimitFactor = 3
	// minPauseLimit bounds from below how long an engine may be unresponsive within a stream that can
	// continue at another engine, also if the route sets no longest pause.
	minPauseLimit = time.Second
)

// errUnresponsive is the cause of a stream abandoned because its engine was unresponsive for too long.
var errUnresponsive = errors.New("gateway: engine is unresponsive")

// watchdog ends the stream of an engine that is unresponsive for too long. A nil watchdog does nothing.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// startWatchdog returns a context that ends with errUnresponsive once the limit has passed since the last
// call of reset. Stop must be called.
func startWatchdog(ctx context.Context, limit time.Duration) (context.Context, *watchdog) {
	watched, cancel := context.WithCancelCause(ctx)
	watch := &watchdog{cancel: cancel}
	watch.timer = time.AfterFunc(limit, func() { cancel(errUnresponsive) })
	return watched, watch
}

// reset restarts the timer with another limit.
func (w *watchdog) reset(limit time.Duration) {
	if w != nil {
		w.timer.Reset(limit)
	}
}

// stop ends the watchdog and its context.
func (w *watchdog) stop() {
	if w != nil {
		w.timer.Stop()
		w.cancel(nil)
	}
}

// pauseLimit returns how long an engine may be unresponsive within a stream.
func (x *exchange) pauseLimit() time.Duration {
	return max(minPauseLimit, pauseLimitFactor*x.route.MaxPause)
}

// firstEvents tracks the mean time to the first event of a response, by service. It is safe for concurrent
// use.
type firstEvents struct {
	mu        sync.Mutex
	byService map[string]firstEventTime
}

type firstEventTime struct {
	responses int
	mean      time.Duration
}

// observe records the first-event time of one response.
func (e *firstEvents) observe(service string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byService == nil {
		e.byService = map[string]firstEventTime{}
	}
	stats := e.byService[service]
	stats.responses++
	// The first responses have equal weights.
	weight := max(firstEventWeight, 1/float64(stats.responses))
	stats.mean += time.Duration(weight * float64(took-stats.mean))
	e.byService[service] = stats
}

// limit returns how long an engine of a service may be unresponsive before its first event.
func (e *firstEvents) limit(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.byService[service]
	if stats.responses < minFirstEvents {
		return initialFirstEventLimit
	}
	return max(minFirstEventLimit, firstEventFactor*stats.mean)
}

// watchDecode starts the watchdog of an engine that is about to stream, if another engine could take over.
func (x *exchange) watchDecode(ctx context.Context, reserved *reservedEngine) context.Context {
	if !x.route.Resumable || x.runs+1 >= x.route.MaxAttempts {
		return ctx
	}
	limit := x.handler.firstEvents.limit(x.service)
	if reserved.localPrefill {
		limit += prefillLimit(reserved.expectedPrefill)
	}
	watched, watch := startWatchdog(ctx, limit)
	reserved.watchdog = watch
	return watched
}
