package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
)

// TestStalledBackendRecovers checks that a backend that answers nothing for 5 s gets less than 0.3 of the
// mean load, and more than half of it 2 s after it works again.
func TestStalledBackendRecovers(t *testing.T) {
	g := NewWithT(t)
	const interval = 100 * time.Millisecond
	controller := admission.NewController(admission.Options{
		Slots: func(string) map[string]int { return map[string]int{"a": 6, "b": 6} }, Nodes: func() int { return 1 },
	})
	now := time.Duration(0)
	working := admission.BackendCounts{Answered: 5, Busy: 5 * 60 * time.Millisecond, Pending: 3}
	report := func(first admission.BackendCounts) admission.Plan {
		now += interval
		second := working
		first.ID, second.ID = "a", "b"
		return controller.HandleReport(now, admission.Report{
			Service: "s", Holder: "n", Interval: interval, Objective: 300 * time.Millisecond, FirstAttempts: 10, Admitted: 10,
			Backends: []admission.BackendCounts{first, second},
		})
	}
	for range 20 {
		report(working)
	}
	var plan admission.Plan
	for range 50 {
		plan = report(admission.BackendCounts{Pending: 20})
	}
	g.Expect(weightOf(plan, "a")).To(BeNumerically("<", 0.3))
	for range 20 {
		plan = report(working)
	}
	g.Expect(weightOf(plan, "a")).To(BeNumerically(">", 0.5))
}

// weightOf returns the weight of a backend; one that a plan does not list has 1.
func weightOf(plan admission.Plan, id string) float64 {
	for _, described := range plan.Backends {
		if described.ID == id {
			return described.Weight
		}
	}
	return 1
}
