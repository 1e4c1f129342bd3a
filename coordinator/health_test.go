package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestOccasionalFailuresKeepEngineInUse lets every fifth run of an engine fail. The engine must
// stay healthy.
func TestOccasionalFailuresKeepEngineInUse(t *testing.T) {
	g := NewWithT(t)
	var health engineHealth
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		if i%5 == 0 {
			health.failed(now, "e")
		} else {
			health.succeeded("e")
		}
		g.Expect(health.healthy(now, "e")).To(BeTrue(), "outcome %d", i)
	}
}

// TestFailingEngineIsRetried lets every run of an engine fail. The engine must be tried again from
// time to time, and be healthy after two successes.
func TestFailingEngineIsRetried(t *testing.T) {
	g := NewWithT(t)
	var health engineHealth
	attempts := 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		if health.healthy(now, "e") {
			health.failed(now, "e")
			attempts++
		}
	}
	g.Expect(attempts).To(BeNumerically(">=", 5))
	g.Expect(attempts).To(BeNumerically("<=", 30))
	health.succeeded("e")
	health.succeeded("e")
	g.Expect(health.healthy(10*time.Second, "e")).To(BeTrue())
}

// TestOverloadIsNotAFailure reports timed-out prompts of an engine that finishes other prefills,
// and of one that finishes none. The first stays in use: excluding an engine because it is busy
// moves its work to the others, until all are excluded.
func TestOverloadIsNotAFailure(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	shared := New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 1_000_000, Slots: 64}}, Prefill: []string{"busy", "dark"}}
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Duration { return now },
	})
	assign := func(id string) Assignment {
		request := requestOf(id, 0)
		request.Objective = 10 * time.Second
		return shared.Assign(t.Context(), request)
	}
	first, second := assign("one"), assign("two")
	g.Expect(first.Prefill).NotTo(Equal(second.Prefill))
	prefilledByBusy := "one"
	if first.Prefill == "dark" {
		prefilledByBusy = "two"
	}
	now += 200 * time.Millisecond
	shared.PrefillDone("s", prefilledByBusy, "busy")
	for range 5 {
		shared.EngineFailed(EngineFailure{Service: "s", Engine: "busy", TimedOut: true})
		shared.EngineFailed(EngineFailure{Service: "s", Engine: "dark", TimedOut: true})
	}
	for _, id := range []string{"three", "four", "five"} {
		g.Expect(assign(id).Prefill).To(Equal("busy"))
	}
}

// TestFailedDecodeEngineIsExcluded has two runs of the preferred engine fail. The next run must go
// to the other engine.
func TestFailedDecodeEngineIsExcluded(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	shared := New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: []ledger.Engine{{ID: "a", Memory: 100_000, Slots: 64}, {ID: "b", Memory: 50_000, Slots: 64}}, Prefill: []string{"p"}}
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Duration { return now },
	})
	for range 2 {
		g.Expect(shared.Assign(t.Context(), requestOf("run", 0)).Decode).To(Equal("a"))
		shared.End(RunResult{Service: "s", ID: "run", Rejection: RejectionFailed})
	}
	g.Expect(shared.Assign(t.Context(), requestOf("run", 0)).Decode).To(Equal("b"))
}
