package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// newDecodePair returns a coordinator of two decode engines and the given prefill engines.
func newDecodePair(now *time.Duration, prefill ...string) *Coordinator {
	return New(Options{
		Engines: func(string) Engines {
			return Engines{
				Decode:  []ledger.Engine{{ID: "a", Memory: 100_000, Slots: 64}, {ID: "b", Memory: 100_000, Slots: 64}},
				Prefill: append([]string(nil), prefill...),
			}
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Duration { return *now },
	})
}

// TestLocalPrefillWithoutPrefillEngines assigns one prompt at a time to each decode engine, and the
// next one once the prefill is done.
func TestLocalPrefillWithoutPrefillEngines(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	coordinator := newDecodePair(&now)
	first, second := coordinator.Assign(t.Context(), requestOf("first", 0)), coordinator.Assign(t.Context(), requestOf("second", 0))
	g.Expect(first.LocalPrefill).To(BeTrue())
	g.Expect(first.Prefill).To(BeEmpty())
	g.Expect([]string{first.Decode, second.Decode}).To(ConsistOf("a", "b"))
	g.Expect(coordinator.Assign(t.Context(), requestOf("third", 0)).Decode).To(BeEmpty())
	now += 300 * time.Millisecond
	coordinator.PrefillDone("s", "first", first.Decode)
	g.Expect(coordinator.Assign(t.Context(), requestOf("third", 0)).Decode).To(Equal(first.Decode))
}

// TestLocalPrefillStopsAtMemoryShare gives the prefill engine a backlog that never shrinks. Decode
// engines must take prompts only while at most localPrefillMemoryShare of their memory is in use.
func TestLocalPrefillStopsAtMemoryShare(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	backlogged := newDecodePair(&now, "p")
	localPrefills := 0
	for i := range 40 {
		id := strconv.Itoa(i)
		assigned := backlogged.Assign(t.Context(), requestOf(id, 0))
		if !assigned.LocalPrefill {
			continue
		}
		localPrefills++
		g.Expect(backlogged.state("s").decode.MemoryShare(now)).To(BeNumerically("<", localPrefillMemoryShare+0.1))
		backlogged.PrefillDone("s", id, assigned.Decode)
	}
	g.Expect(localPrefills).To(BeNumerically(">", 0))
	g.Expect(backlogged.state("s").decode.MemoryShare(now)).To(BeNumerically("<", localPrefillMemoryShare+0.1))
}

// TestDemandFollowsTheRequests sends requests at a steady rate, and expects the demand that follows
// from prefill times and memory. Client retries are not counted.
func TestDemandFollowsTheRequests(t *testing.T) {
	g := NewWithT(t)
	const (
		perSecond = 10
		seconds   = 60
	)
	now := time.Duration(0)
	measured := newDecodePair(&now, "p", "q", "r", "s")
	if _, known := measured.Demand("s"); known {
		t.Fatal("demand is known without a request")
	}
	for i := range perSecond * seconds {
		now += time.Second / perSecond
		id := strconv.Itoa(i)
		request := requestOf(id, 0)
		retry := requestOf(id+"-again", 0)
		retry.Late = true
		measured.Assign(t.Context(), request)
		measured.PrefillDone("s", id, "")
		measured.End(RunResult{Service: "s", ID: id})
		measured.Assign(t.Context(), retry)
		measured.End(RunResult{Service: "s", ID: id + "-again"})
	}
	demand, known := measured.Demand("s")
	g.Expect(known).To(BeTrue())
	// 8,000 tokens at the initial estimate of 50,000 a second.
	g.Expect(demand.Prefill).To(BeNumerically("~", perSecond*0.16, 0.1))
	// 8,250 of 97,000 tokens for 0.65 s.
	g.Expect(demand.Decode).To(BeNumerically("~", perSecond*0.65*8250/97_000, 0.05))
}
