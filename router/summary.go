package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
)

// summaryInterval is the interval at which a node logs the outcomes of requests and the state of
// the engines of services that it coordinates. A few lines a second are far below the log's limit.
const summaryInterval = time.Second

// longSummaries is the number of summaries between two summaries of the calls to other nodes and
// of tenants, which are only of interest as sums.
const longSummaries = 5

// logSummaries logs summaries until the context ends.
func (r *Router) logSummaries(ctx context.Context) {
	summaries := 0
	periodic.Run(ctx, summaryInterval, func(context.Context) {
		summaries++
		if summaries%longSummaries == 0 {
			r.logTraffic()
			r.gateway.LogTenants()
		}
		r.gateway.LogCounts()
		for _, service := range r.coordinatedServices() {
			r.logEngines(service)
		}
		r.logLoads()
		r.logStoreCalls()
		r.logRepeatedNotices()
		r.logLimitedResponses()
		r.logDeniedCalls()
		r.logOutdatedObjects()
		r.logReportedFailures()
		r.logLateness()
		r.logClosedConnections()
		r.logCallerRequests()
	})
}

func (r *Router) logEngines(service string) {
	state := r.coordinator.State(service)
	r.options.Logger.Info("engines", "service", service, "prefill", state.Prefill, "decode", state.Decode,
		"failing", state.Failing, "runs", state.Runs, "memory_percent", int(100*state.MemoryShare), //nolint:mnd // percent
		"waiting", state.Waiting, "backlog_ms", state.Backlog.Milliseconds(), "pace", int(state.DecodeRate),
		"prefill_demand", state.Demand.Prefill, "decode_demand", state.Demand.Decode)
}

// logLoads logs the state of the plain services that are under load.
func (r *Router) logLoads() {
	for service, state := range r.controller.States(r.now()) {
		r.options.Logger.Info("load", "service", service, "offered", int(state.Offered), "capacity", int(state.Capacity),
			"fullness", state.Utilization, "admitted_first_tries", state.Plan.FirstAttempts, "admitted_retries", state.Plan.Retries,
			"retry_after_ms", state.Plan.RetryAfter.Milliseconds(), "backends", state.Plan.Backends, "holders", state.Holders)
	}
}

// countReportedFailure counts a failure of an engine that another node reports to this coordinator.
func (r *Router) countReportedFailure(request *peerpb.Request) {
	isRunFailed := coordinator.Rejection(request.GetEndRun().GetRefusal()) == coordinator.RejectionFailed
	if request.GetEngineFailed() != nil || isRunFailed {
		r.reportedFailures.add(request.GetNode())
	}
}

// logReportedFailures logs how many failures of engines each node has reported since the last summary. If one node
// reports most of them, its own connections may be at fault.
func (r *Router) logReportedFailures() {
	if counts := r.reportedFailures.take(); len(counts) > 0 {
		r.options.Logger.Info("engine failures reported", "by_node", counts)
	}
}
