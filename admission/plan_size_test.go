package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
)

// planOfMany returns the plan of a service with many backends, each of which has one request every few seconds
// of varying length. One of them fails all requests, and one has a queue.
func planOfMany(count int) admission.Plan {
	slots := map[string]int{}
	for i := range count {
		slots[fmt.Sprintf("server-%05d", i)] = 6
	}
	controller := admission.NewController(admission.Options{
		Slots: func(string) map[string]int { return slots }, Nodes: func() int { return 1 },
	})
	random := rand.New(rand.NewPCG(21, 22))
	var plan admission.Plan
	for second := range 30 {
		report := admission.Report{Service: "s", Holder: "n", Interval: time.Second, Objective: 300 * time.Millisecond, FirstAttempts: count / 6}
		for range count / 6 {
			took := time.Duration(20+random.IntN(100)) * time.Millisecond
			report.Backends = append(report.Backends, admission.BackendCounts{
				ID: fmt.Sprintf("server-%05d", 2+random.IntN(count-2)), Answered: 1, Busy: took,
			})
		}
		report.Backends = append(report.Backends,
			admission.BackendCounts{ID: "server-00000", Failed: 3, Busy: 3 * 60 * time.Millisecond},
			admission.BackendCounts{ID: "server-00001", Answered: 30, Busy: 30 * 200 * time.Millisecond, Pending: 20},
		)
		plan = controller.HandleReport(time.Duration(second+1)*time.Second, report)
	}
	return plan
}

// TestPlanSizeIsBounded checks that plans for 1,350 and 2,700 backends, which each node gets once a second,
// have the same bound on their size and list the failing and the queueing backend.
func TestPlanSizeIsBounded(t *testing.T) {
	for _, count := range []int{1350, 2700} {
		g := NewWithT(t)
		plan := planOfMany(count)
		g.Expect(plan.FirstAttempts).To(Equal(1.0))
		g.Expect(len(plan.Backends)).To(BeNumerically("<=", 32))
		g.Expect(weightOf(plan, "server-00000")).To(BeNumerically("<", 0.3), "it fails")
		var queued admission.BackendPlan
		for _, described := range plan.Backends {
			if described.ID == "server-00001" {
				queued = described
			}
		}
		g.Expect(queued.Utilization).To(BeNumerically(">", 1), "it has a queue")
		g.Expect(plan.RestUtilization).To(BeNumerically("<", 0.1))
	}
}
