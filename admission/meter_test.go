package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
)

func everySecond(string) time.Duration { return time.Second }

// TestMeterReportsWhenDue checks that counts are reported once an interval, rejections early, and an empty
// report once after the last request.
func TestMeterReportsWhenDue(t *testing.T) {
	g := NewWithT(t)
	meter := admission.NewMeter("n")
	meter.Offered(0, "s", 300*time.Millisecond, false, true)
	ended := meter.Begin(0, "s", "b")
	g.Expect(meter.Due(900*time.Millisecond, everySecond)).To(BeEmpty())
	due := meter.Due(time.Second, everySecond)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].FirstAttempts).To(Equal(1))
	g.Expect(due[0].Backends).To(Equal([]admission.BackendCounts{{ID: "b", Pending: 1}}))

	ended(1100*time.Millisecond, admission.OutcomeRejected)
	g.Expect(meter.Due(1200*time.Millisecond, everySecond)).To(BeEmpty())
	due = meter.Due(1500*time.Millisecond, everySecond)
	g.Expect(due).To(HaveLen(1), "a rejection is urgent")
	g.Expect(due[0].Interval).To(Equal(500 * time.Millisecond))
	g.Expect(due[0].Backends).To(Equal([]admission.BackendCounts{{ID: "b", Rejected: 1}}))

	due = meter.Due(2500*time.Millisecond, everySecond)
	g.Expect(due).To(HaveLen(1), "a report without requests is sent once")
	g.Expect(due[0].Backends).To(BeEmpty())
	g.Expect(meter.Due(4*time.Second, everySecond)).To(BeEmpty())
}

// TestGateIgnoresExpiredPlan checks that the gate rejects by the active plan, and nothing once the plan has
// expired.
func TestGateIgnoresExpiredPlan(t *testing.T) {
	g := NewWithT(t)
	gate := admission.NewGate()
	half := func() float64 { return 0.5 }
	g.Expect(gate.Admit(0, "s", false, half).Admitted).To(BeTrue())
	gate.Put(0, "s", admission.Plan{FirstAttempts: 0.6, Retries: 0.1, RetryAfter: time.Second, Interval: 250 * time.Millisecond})
	g.Expect(gate.Admit(time.Second, "s", false, half).Admitted).To(BeTrue())
	rejected := gate.Admit(time.Second, "s", true, half)
	g.Expect(rejected).To(Equal(admission.Decision{RetryAfter: time.Second, Share: 0.1, PlanAge: time.Second}))
	g.Expect(gate.Interval(time.Second, "s")).To(Equal(250 * time.Millisecond))
	g.Expect(gate.Admit(3*time.Second, "s", true, half).Admitted).To(BeTrue())
}

// TestChoosePrefersSameZone checks that the zone's own backend is chosen while it has spare capacity, and any
// backend when it is full, failing or rejecting.
func TestChoosePrefersSameZone(t *testing.T) {
	for name, test := range map[string]struct {
		plan  admission.Plan
		local admission.Candidate
		stays bool
	}{
		"no plan":   {local: admission.Candidate{ID: "home"}, stays: true},
		"spare":     {plan: planOf(admission.BackendPlan{ID: "home", Weight: 1, Utilization: 0.5}), local: admission.Candidate{ID: "home"}, stays: true},
		"full":      {plan: planOf(admission.BackendPlan{ID: "home", Weight: 1, Utilization: 1}), local: admission.Candidate{ID: "home"}},
		"failing":   {plan: planOf(admission.BackendPlan{ID: "home", Weight: 0.02}), local: admission.Candidate{ID: "home"}},
		"rejecting": {local: admission.Candidate{ID: "home", Full: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := admission.NewGate()
			if test.plan.Interval > 0 {
				gate.Put(0, "s", test.plan)
			}
			local := test.local
			local.SameZone = true
			candidates := []admission.Candidate{{ID: "away1"}, {ID: "away2"}, local}
			g.Expect(gate.Choose(0, "s", candidates, func() float64 { return 0.5 }) == 2).To(Equal(test.stays))
		})
	}
}

func planOf(backends ...admission.BackendPlan) admission.Plan {
	return admission.Plan{FirstAttempts: 1, Retries: 1, Interval: time.Second, Backends: backends}
}
