package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestReportAndPlanRoundTrip checks that encoding and decoding preserves each field.
func TestReportAndPlanRoundTrip(t *testing.T) {
	g := NewWithT(t)
	report := Report{
		Service: "s", Holder: "n", Interval: time.Second, Objective: 300 * time.Millisecond, FirstAttempts: 1, Retries: 2, Admitted: 8,
		Backends: []BackendCounts{{ID: "b", Answered: 3, Busy: 4 * time.Millisecond, Failed: 5, Rejected: 6, Pending: 7}},
	}
	g.Expect(decodeReport(encodeReport(report))).To(Equal(report))
	plan := Plan{
		FirstAttempts: 0.5, Retries: 0.25, RetryAfter: time.Second, Interval: 250 * time.Millisecond,
		Backends: []BackendPlan{{ID: "b", Weight: 1.5, Utilization: 0.75}}, RestUtilization: 0.5,
	}
	g.Expect(decodePlan(encodePlan(plan))).To(Equal(plan))
}
