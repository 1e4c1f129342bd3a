package gateway

import (
	"sort"
	"sync"
)

// RouteCounts are the requests of one route that have ended since the last report.
type RouteCounts struct {
	Route string
	// First counts first attempts: callers that had not asked before.
	First int
	// InTime counts answers within the objective, counted from the first attempt, without a
	// pause above the limit. Late counts the other answers.
	InTime, Late int
	// Refused counts requests that have certainly not run; Failed those without an answer that
	// may have run, or whose back end failed; Left those whose caller left.
	Refused, Failed, Left int
}

// routeCounters counts how requests end, by route. It is safe for concurrent use.
type routeCounters struct {
	mu      sync.Mutex
	byRoute map[string]*RouteCounts
}

// add changes the counts of the route of a request; requests without a route are not counted.
func (c *routeCounters) add(x *exchange, change func(*RouteCounts)) {
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
	if !x.isRetry() {
		counts.First++
	}
	change(counts)
}

// take returns the counts since the last call, by route.
func (c *routeCounters) take() []RouteCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []RouteCounts
	for _, counts := range c.byRoute {
		taken = append(taken, *counts)
	}
	c.byRoute = nil
	sort.Slice(taken, func(i, j int) bool { return taken[i].Route < taken[j].Route })
	return taken
}

// countFailure counts a request that got the gateway's own answer.
func (h *Handler) countFailure(x *exchange, final *failure) {
	h.countTenantFailure(x, final)
	h.counters.add(x, func(counts *RouteCounts) {
		switch {
		case final.reason == ReasonCallerLeft:
			counts.Left++
		case final.retryAfter > 0:
			counts.Refused++
		default:
			counts.Failed++
		}
	})
}

// repeatCounts are the requests of one service that have ended since the last report.
type repeatCounts struct {
	requests int
	// beyondFirst are their arrivals at back ends beyond the first of each.
	beyondFirst int
}

// repeatCounters counts by service. It is safe for concurrent use.
type repeatCounters struct {
	mu        sync.Mutex
	byService map[string]repeatCounts
}

// add counts a request with its arrivals beyond the first.
func (c *repeatCounters) add(service string, beyondFirst int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService == nil {
		c.byService = map[string]repeatCounts{}
	}
	counts := c.byService[service]
	counts.requests++
	counts.beyondFirst += beyondFirst
	c.byService[service] = counts
}

// take returns the counts since the last call.
func (c *repeatCounters) take() map[string]repeatCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.byService
	c.byService = nil
	return taken
}

// countArrivals counts what a request that has ended has sent to back ends.
func (h *Handler) countArrivals(x *exchange) {
	if x.service == "" {
		return
	}
	beyond := x.arrivals.beyondFirst()
	h.repeatCounters.add(x.service, beyond)
	h.options.Metrics.Add("arrivals_beyond_first", int64(beyond))
}

// logRepeats writes a line for each service whose requests reached back ends more than once, or were not
// allowed to, since the last call: what was sent and what the budget counted for it.
func (h *Handler) logRepeats() {
	sent := h.repeatCounters.take()
	for _, spent := range h.options.Budget.Report() {
		counts := sent[spent.Service]
		h.options.Logger.Info("repeats", "service", spent.Service, "requests", counts.requests, "beyond_first", counts.beyondFirst,
			"granted", spent.Granted, "refused", spent.Refused, "window_requests", spent.Requests, "window_repeats", spent.Retries,
			"left", spent.Remaining, "burst", spent.Burst)
	}
}

// LogCounts writes a line for each route that had requests since the last call: what is
// answered in time costs no line of its own.
func (h *Handler) LogCounts() {
	h.logRepeats()
	for _, counts := range h.counters.take() {
		h.options.Logger.Info("requests", "route", counts.Route, "first", counts.First, "in_time", counts.InTime,
			"late", counts.Late, "refused", counts.Refused, "failed", counts.Failed, "left", counts.Left)
	}
}
