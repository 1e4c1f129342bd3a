package gateway

import (
	"sort"
	"sync"
)

// RouteCounts are the requests of one route that have ended since the last report.
type RouteCounts struct {
	Route string
	// FirstAttempts counts the requests that are not client retries.
	FirstAttempts int
	// InTime counts responses within the objective, measured from the first attempt, without a pause above
	// the limit. Late counts the other responses.
	InTime, Late int
	// Rejected counts requests that have certainly not run; Failed those without a response that may have
	// run, or whose backend failed; Disconnected those whose caller disconnected.
	Rejected, Failed, Disconnected int
	// Cut counts responses, of those above, whose end did not reach the caller.
	Cut int
}

// routeCounters counts how requests end, by route. It is safe for concurrent use.
type routeCounters struct {
	mu      sync.Mutex
	byRoute map[string]*RouteCounts
}

// add counts a request that has ended; requests without a route are not counted.
func (c *routeCounters) add(x *exchange, count func(*RouteCounts)) {
	c.change(x, func(counts *RouteCounts) {
		if !x.isClientRetry() {
			counts.FirstAttempts++
		}
		count(counts)
	})
}

// change changes the counts of the route of a request.
func (c *routeCounters) change(x *exchange, change func(*RouteCounts)) {
	if x.route == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRoute == nil {
		c.byRoute = map[string]*RouteCounts{}
	}
	counts := c.byRoute[x.route.Name]
	if counts == nil {
		counts = &RouteCounts{Route: x.route.Name}
		c.byRoute[x.route.Name] = counts
	}
	change(counts)
}

// take returns the counts since the last call, sorted by route.
func (c *routeCounters) take() []RouteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var snapshot []RouteCounts
	for _, counts := range c.byRoute {
		snapshot = append(snapshot, *counts)
	}
	c.byRoute = nil
	sort.Slice(snapshot, func(i, j int) bool { return snapshot[i].Route < snapshot[j].Route })
	return snapshot
}

// countFailure counts a request that the gateway answered itself.
func (h *Handler) countFailure(x *exchange, final *failure) {
	h.countTenantFailure(x, final)
	h.counters.add(x, func(counts *RouteCounts) {
		switch {
		case final.reason == ReasonCallerDisconnected:
			counts.Disconnected++
		case final.retryAfter > 0:
			counts.Rejected++
		default:
			counts.Failed++
		}
	})
}

// retryCounts are the requests of one service that have ended since the last report.
type retryCounts struct {
	requests int
	// upstreamRetries are their calls to backends that count as retries.
	upstreamRetries int
}

// retryCounters counts requests and upstream retries by service. It is safe for concurrent use.
type retryCounters struct {
	mu        sync.Mutex
	byService map[string]retryCounts
}

// add counts a request with its upstream retries.
func (c *retryCounters) add(service string, upstreamRetries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService == nil {
		c.byService = map[string]retryCounts{}
	}
	counts := c.byService[service]
	counts.requests++
	counts.upstreamRetries += upstreamRetries
	c.byService[service] = counts
}

// take returns the counts since the last call.
func (c *retryCounters) take() map[string]retryCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot := c.byService
	c.byService = nil
	return snapshot
}

// countArrivals counts the upstream retries of a request that has ended.
func (h *Handler) countArrivals(x *exchange) {
	if x.service == "" {
		return
	}
	retries := x.arrivals.upstreamRetries()
	h.retryCounters.add(x.service, retries)
	h.options.Metrics.Add("arrivals_beyond_first", int64(retries))
}

// logUpstreamRetries writes a line for each service that had upstream retries, or was denied them by the
// retry budget, since the last call: what was sent and what the budget counted for it.
func (h *Handler) logUpstreamRetries() {
	sent := h.retryCounters.take()
	for _, report := range h.options.Budget.Report() {
		counts := sent[report.Service]
		h.options.Logger.Info("repeats", "service", report.Service, "requests", counts.requests, "beyond_first", counts.upstreamRetries,
			"granted", report.Granted, "refused", report.Rejected, "window_requests", report.Requests, "window_repeats", report.Retries,
			"left", report.Remaining, "burst", report.Burst)
	}
}

// LogCounts writes a line for each route that had requests since the last call. Requests answered in time
// have no line of their own.
func (h *Handler) LogCounts() {
	h.logUpstreamRetries()
	for _, counts := range h.counters.take() {
		h.options.Logger.Info("requests", "route", counts.Route, "first", counts.FirstAttempts, "in_time", counts.InTime,
			"late", counts.Late, "refused", counts.Rejected, "failed", counts.Failed, "left", counts.Disconnected,
			"cut", counts.Cut)
	}
}
