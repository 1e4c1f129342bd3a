package admission

import "time"

// Outcome is how a request to a backend ended.
type Outcome int

// Outcomes of a request to a backend.
const (
	// OutcomeAbandoned is a request whose caller disconnected, or whose failure may be the node's own: it carries no
	// information about the backend.
	OutcomeAbandoned Outcome = iota
	// OutcomeAnswered is a request with a successful response.
	OutcomeAnswered
	// OutcomeFailed is a request that may have run and has no successful response.
	OutcomeFailed
	// OutcomeRejected is a request that the backend did not accept.
	OutcomeRejected
)

// BackendCounts holds a node's counts of one backend over a report's interval.
type BackendCounts struct {
	ID string
	// Answered counts successful responses, Failed requests that may have run and have none, and Busy is the
	// total duration of both.
	Answered, Failed int
	Busy             time.Duration
	// Rejected counts requests that the backend did not accept.
	Rejected int
	// Pending is the number of the node's requests in flight at the end of the interval.
	Pending int
}

// Report holds a node's counts of a service.
type Report struct {
	Service string
	// Holder is the address of the node.
	Holder string
	// Interval is the time over which the counts were taken.
	Interval time.Duration
	// Objective is the shortest latency objective of the requests, zero if none has one.
	Objective time.Duration
	// FirstAttempts and Retries count the callers' requests, including those not admitted. A retry is a client
	// retry: its caller was rejected before.
	FirstAttempts, Retries int
	// Admitted is how many of the callers' requests were sent to backends, some of them more than once.
	Admitted int
	Backends []BackendCounts
}

// BackendPlan is how a backend differs from the others of its service.
type BackendPlan struct {
	ID string
	// Weight is its share of the requests, as a multiple of the mean of all backends.
	Weight float64
	// Utilization is the number of its requests, as a fraction of its slots.
	Utilization float64
}

// Plan is how the nodes send requests to a service.
type Plan struct {
	// FirstAttempts and Retries are the shares of the callers' requests to admit, from 0 to 1.
	FirstAttempts, Retries float64
	// RetryAfter is when a caller that is not admitted should retry.
	RetryAfter time.Duration
	// Interval is when the node should report again.
	Interval time.Duration
	// Backends are those that differ from the usual, which is a weight of 1 and a utilization below one half.
	// If too many differ, they are those that deviate most.
	Backends []BackendPlan
	// RestUtilization is the mean utilization of the backends that the plan does not list; zero if the plan
	// lists all that differ.
	RestUtilization float64
}

// deviation is how much a backend differs: half the usual weight counts as much as twice, and a full backend as
// much as either.
func (p BackendPlan) deviation() float64 {
	difference := p.Weight - 1
	if p.Weight > 0 && p.Weight < 1 {
		difference = 1/p.Weight - 1
	}
	return max(difference, p.Utilization)
}

// admitAllPlan admits everything and weighs all backends alike.
func admitAllPlan() Plan {
	return Plan{FirstAttempts: 1, Retries: 1, Interval: normalInterval}
}
