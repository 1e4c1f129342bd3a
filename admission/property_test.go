package admission_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/admission"
)

// TestPlansAreValid feeds the controller arbitrary reports, as a node of another version may send them: shares
// stay between 0 and 1, and weights are numbers above 0.
func TestPlansAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backends := rapid.IntRange(0, 5).Draw(t, "backends")
		slots := map[string]int{}
		for i := range backends {
			slots[strconv.Itoa(i)] = rapid.IntRange(0, 8).Draw(t, "slots")
		}
		controller := admission.NewController(admission.Options{
			Slots: func(string) map[string]int { return slots }, Nodes: func() int { return 3 },
		})
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			checkPlan(t, controller.HandleReport(now, drawReport(t)))
		}
	})
}

func drawReport(t *rapid.T) admission.Report {
	count := rapid.IntRange(0, 500)
	report := admission.Report{
		Service: "s", Holder: strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "holder")),
		Interval:      time.Duration(rapid.IntRange(0, 2000).Draw(t, "interval")) * time.Millisecond,
		Objective:     time.Duration(rapid.IntRange(0, 1000).Draw(t, "objective")) * time.Millisecond,
		FirstAttempts: count.Draw(t, "first"), Retries: count.Draw(t, "retries"), Admitted: count.Draw(t, "admitted"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "named") {
		report.Backends = append(report.Backends, admission.BackendCounts{
			ID: strconv.Itoa(rapid.IntRange(0, 6).Draw(t, "id")), Answered: count.Draw(t, "answered"),
			Busy:   time.Duration(rapid.IntRange(0, 100_000).Draw(t, "busy")) * time.Millisecond,
			Failed: count.Draw(t, "failed"), Rejected: count.Draw(t, "rejected"), Pending: count.Draw(t, "pending"),
		})
	}
	return report
}

func checkPlan(t *rapid.T, plan admission.Plan) {
	for _, share := range []float64{plan.FirstAttempts, plan.Retries} {
		if math.IsNaN(share) || share < 0 || share > 1 {
			t.Fatalf("share %v", share)
		}
	}
	if plan.FirstAttempts < 1 && plan.RetryAfter <= 0 {
		t.Fatalf("rejected without a retry delay")
	}
	if plan.Interval <= 0 {
		t.Fatalf("interval %v", plan.Interval)
	}
	for _, described := range plan.Backends {
		if !(described.Weight > 0) || math.IsInf(described.Weight, 0) || math.IsNaN(described.Utilization) {
			t.Fatalf("backend %+v", described)
		}
	}
}
