package router

import (
	"net"
	"time"

	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/concurrencylimit"
)

// callerGate decides by a limit which requests of callers are read, and observes delays on their connections.
type callerGate struct {
	*concurrencylimit.Limit
	*concurrencylimit.Monitor
}

// AddTransmission implements callerconn.Gate.
func (g callerGate) AddTransmission(transmission *callerconn.Transmission) {
	g.Monitor.AddTransmission(transmission)
}

// limitCallerRequests prepares the bound on the requests of callers in progress.
func (r *Router) limitCallerRequests() {
	r.callerRequests = concurrencylimit.NewLimit(r.options.Clock.Now)
	r.callerDelays = concurrencylimit.NewMonitor(concurrencylimit.Options{Limit: r.callerRequests, Adjusted: r.observeDelays, BeginRoundTrip: r.beginRoundTrip})
	r.metrics.Gauge("requests_limit", func() float64 { most, _ := r.callerRequests.State(); return float64(most) })
}

// callerGate returns what decides which requests of callers are read.
func (r *Router) callerGate() callerconn.GateOptions {
	return callerconn.GateOptions{
		Gate:   callerGate{r.callerRequests, r.callerDelays},
		Reopen: func() (net.Listener, error) { return r.listenOn(r.options.Settings.CallerAddress) },
		ReopenFailed: func(err error) {
			r.options.Logger.Error("cannot listen for callers again", "error", err.Error())
		},
	}
}

// beginRoundTrip pings another node.
func (r *Router) beginRoundTrip() (concurrencylimit.RoundTrip, bool) {
	trip, ok := r.client.BeginRoundTrip()
	return trip, ok
}

// observeDelays accounts for an adjustment of the limit.
func (r *Router) observeDelays(adjusted concurrencylimit.Adjustment) {
	r.metrics.Observe("caller_processor_delay", adjusted.Delays.Processor)
	r.metrics.Observe("caller_link_delay", adjusted.Delays.Callers)
	r.metrics.Observe("node_link_delay", adjusted.Delays.Nodes)
	r.adjustment.Store(&adjusted)
}

// logCallerRequests logs what the limit of requests has turned away since the last summary, with the last adjustment of the limit.
func (r *Router) logCallerRequests() {
	away := r.callerRequests.TakeTurnedAway()
	r.metrics.Add("connections_turned_away", int64(away.Connections))
	r.metrics.Add("requests_left_unread", int64(away.Requests))
	if !away.Any() {
		return
	}
	most, inProgress := r.callerRequests.State()
	line := []any{"connections", away.Connections, "requests", away.Requests, "not_listening_ms", away.Refusing.Milliseconds(), "limit", most, "in_progress", inProgress}
	if last := r.adjustment.Load(); last != nil {
		line = append(line, "processor_delay_ms", last.Delays.Processor.Milliseconds(), "callers_delay_ms", last.Delays.Callers.Milliseconds(),
			"nodes_delay_ms", last.Delays.Nodes.Milliseconds(), "delays_age_ms", time.Since(last.At).Milliseconds())
	}
	r.options.Logger.Info("requests turned away unread", line...)
}
