package gateway

import (
	"sync"
	"time"
)

const (
	// minFirstEventLimit bounds from below how long a decode engine may be unresponsive after the prefill before
	// another one is prepared. On the supported deployments the first event takes about ten
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
	// pauseLimitFactor times the longest pause of the route is how long an engine may be unresponsive within a stream
	// before another one is prepared.
	pauseLimitFactor = 3
	// minPauseLimit is the shortest time of this kind, also if the route sets no longest pause.
	minPauseLimit = time.Second
	// pauseTimeoutShare times the time after which the caller disconnects from a paused stream is another lower bound: a
	// stream that has paused for this long is late whatever happens, and the rest suffices to prepare another engine.
	pauseTimeoutShare = 0.4
)

// pauseLimit returns how long an engine may be unresponsive within a stream before another one is prepared.
func (x *exchange) pauseLimit() time.Duration {
	callerShare := time.Duration(pauseTimeoutShare * float64(x.route.CallerEventTimeout))
	return max(minPauseLimit, pauseLimitFactor*x.route.MaxPause, callerShare)
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

// limit returns how long an engine of a service may be unresponsive before its first event until another one is prepared.
func (e *firstEvents) limit(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.byService[service]
	if stats.responses < minFirstEvents {
		return initialFirstEventLimit
	}
	return max(minFirstEventLimit, firstEventFactor*stats.mean)
}
