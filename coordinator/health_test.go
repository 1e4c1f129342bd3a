package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestAnEngineThatFailsOnceInAWhileStaysInUse has a fifth of an engine's answers fail.
func TestAnEngineThatFailsOnceInAWhileStaysInUse(t *testing.T) {
	g := NewWithT(t)
	var health engineHealth
	for i := range 100 {
		now := time.Duration(i) * 50 * time.Millisecond
		if i%5 == 0 {
			health.failed(now, "e")
		} else {
			health.answered("e")
		}
		g.Expect(health.sound(now, "e")).To(BeTrue(), "outcome %d", i)
	}
}

// TestAnEngineThatFailsAlwaysIsTriedAgainNowAndThen has each of its answers fail.
func TestAnEngineThatFailsAlwaysIsTriedAgainNowAndThen(t *testing.T) {
	g := NewWithT(t)
	var health engineHealth
	tries := 0
	for now := time.Duration(0); now < 10*time.Second; now += 20 * time.Millisecond {
		if health.sound(now, "e") {
			health.failed(now, "e")
			tries++
		}
	}
	g.Expect(tries).To(BeNumerically(">=", 5))
	g.Expect(tries).To(BeNumerically("<=", 30))
	health.answered("e")
	health.answered("e")
	g.Expect(health.sound(10*time.Second, "e")).To(BeTrue())
}

// TestOverloadIsNoFailure reports prompts without an answer in time of an engine that reads
// others, and of one that reads nothing. The first stays in use: an engine that is taken out
// because it has much to do leaves its work to the others, until all are out.
func TestOverloadIsNoFailure(t *testing.T) {
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
	readByBusy := "one"
	if first.Prefill == "dark" {
		readByBusy = "two"
	}
	now += 200 * time.Millisecond
	shared.PrefillDone("s", readByBusy, "busy")
	for range 5 {
		shared.EngineFailed(EngineFailure{Service: "s", Engine: "busy", TimedOut: true})
		shared.EngineFailed(EngineFailure{Service: "s", Engine: "dark", TimedOut: true})
	}
	for _, id := range []string{"three", "four", "five"} {
		g.Expect(assign(id).Prefill).To(Equal("busy"))
	}
}

// TestAFailedDecodeEngineIsOut ends runs of one engine by its failure.
func TestAFailedDecodeEngineIsOut(t *testing.T) {
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
		shared.End(RunResult{Service: "s", ID: "run", Refusal: RefusalFailed})
	}
	g.Expect(shared.Assign(t.Context(), requestOf("run", 0)).Decode).To(Equal("b"))
}
