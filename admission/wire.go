package admission

import (
	"time"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
)

func encodeReport(report Report) *peerpb.ReportLoad {
	encoded := &peerpb.ReportLoad{
		Service: report.Service, Holder: report.Holder, IntervalMs: report.Interval.Milliseconds(),
		ObjectiveMs: report.Objective.Milliseconds(), FirstTries: int64(report.FirstAttempts), Retries: int64(report.Retries),
		Admitted: int64(report.Admitted),
	}
	for _, counts := range report.Backends {
		encoded.Backends = append(encoded.Backends, &peerpb.BackendLoad{
			Id: counts.ID, Answered: int64(counts.Answered), BusyUs: counts.Busy.Microseconds(),
			Failed: int64(counts.Failed), Rejected: int64(counts.Rejected), Pending: int64(counts.Pending),
		})
	}
	return encoded
}

func decodeReport(encoded *peerpb.ReportLoad) Report {
	report := Report{
		Service: encoded.GetService(), Holder: encoded.GetHolder(), Interval: peer.Millis(encoded.GetIntervalMs()),
		Objective: peer.Millis(encoded.GetObjectiveMs()), FirstAttempts: int(encoded.GetFirstTries()), Retries: int(encoded.GetRetries()),
		Admitted: int(encoded.GetAdmitted()),
	}
	for _, counts := range encoded.GetBackends() {
		report.Backends = append(report.Backends, BackendCounts{
			ID: counts.GetId(), Answered: int(counts.GetAnswered()), Busy: time.Duration(counts.GetBusyUs()) * time.Microsecond,
			Failed: int(counts.GetFailed()), Rejected: int(counts.GetRejected()), Pending: int(counts.GetPending()),
		})
	}
	return report
}

func encodePlan(plan Plan) *peerpb.LoadPlan {
	encoded := &peerpb.LoadPlan{
		FirstTries: float32(plan.FirstAttempts), Retries: float32(plan.Retries),
		RetryAfterMs: plan.RetryAfter.Milliseconds(), IntervalMs: plan.Interval.Milliseconds(),
		RestFullness: float32(plan.RestUtilization),
	}
	for _, described := range plan.Backends {
		encoded.Backends = append(encoded.Backends, &peerpb.BackendWeight{
			Id: described.ID, Weight: float32(described.Weight), Fullness: float32(described.Utilization),
		})
	}
	return encoded
}

func decodePlan(encoded *peerpb.LoadPlan) Plan {
	plan := Plan{
		FirstAttempts: float64(encoded.GetFirstTries()), Retries: float64(encoded.GetRetries()),
		RetryAfter: peer.Millis(encoded.GetRetryAfterMs()), Interval: peer.Millis(encoded.GetIntervalMs()),
		RestUtilization: float64(encoded.GetRestFullness()),
	}
	for _, described := range encoded.GetBackends() {
		plan.Backends = append(plan.Backends, BackendPlan{
			ID: described.GetId(), Weight: float64(described.GetWeight()), Utilization: float64(described.GetFullness()),
		})
	}
	return plan
}
