package admission

import "time"

// Outcome is how a request to a back end ended.
type Outcome int

// The outcomes.
const (
	// OutcomeAbandoned is that of a request whose caller left: it says nothing of the back end.
	OutcomeAbandoned Outcome = iota
	// OutcomeAnswered is that of a good answer.
	OutcomeAnswered
	// OutcomeFailed is that of a request that may have run and has no good answer.
	OutcomeFailed
	// OutcomeRejected is that of a request that the back end did not accept.
	OutcomeRejected
)

// BackendCounts is what a node saw of one back end in the interval of a report.
type BackendCounts struct {
	ID string
	// Answered counts good answers, Failed requests that may have run and have none, and Busy is
	// how long all of these took together.
	Answered, Failed int
	Busy             time.Duration
	// Rejected counts requests that the back end did not accept.
	Rejected int
	// Pending is how many requests of the node are under way there at the end of the interval.
	Pending int
}

// Report is what a node saw of a service.
type Report struct {
	Service string
	// Holder is the address of the node.
	Holder string
	// Interval is the time that the counts are of.
	Interval time.Duration
	// Objective is the shortest objective of the requests, zero where there was none.
	Objective time.Duration
	// FirstAttempts and Retries count the callers' requests, also those that were not admitted.
	// A retry is that of a caller that was refused before.
	FirstAttempts, Retries int
	// Admitted is how many of them were sent to back ends, some of them more than once.
	Admitted int
	Backends []BackendCounts
}

// BackendPlan is how a back end differs from the others of its service.
type BackendPlan struct {
	ID string
	// Weight is its share of the requests, as a multiple of the mean of all back ends.
	Weight float64
	// Utilization is how many requests it has, as a share of its slots.
	Utilization float64
}

// Plan is how the nodes send requests to a service.
type Plan struct {
	// FirstAttempts and Retries are the shares of the callers' requests to admit, from 0 to 1.
	FirstAttempts, Retries float64
	// RetryAfter is when a caller that is not admitted is to come back.
	RetryAfter time.Duration
	// Interval is when the node is to report again.
	Interval time.Duration
	// Backends are those that differ from the usual: of weight 1 and less than half full. Of many they are
	// those that differ most.
	Backends []BackendPlan
	// RestUtilization is the mean fullness of the others, where not all that differ are named.
	RestUtilization float64
}

// prominence is how much a back end differs: one with half the usual weight as much as one with twice, and one
// that is full as much as either.
func (p BackendPlan) prominence() float64 {
	difference := p.Weight - 1
	if p.Weight > 0 && p.Weight < 1 {
		difference = 1/p.Weight - 1
	}
	return max(difference, p.Utilization)
}

// openPlan admits everything and weighs all back ends alike.
func openPlan() Plan {
	return Plan{FirstAttempts: 1, Retries: 1, Interval: calmInterval}
}
