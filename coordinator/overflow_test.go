package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// newOverflowing returns a coordinator of two decode engines and the given prefill engines.
func newOverflowing(now *time.Duration, prefill ...string) *Coordinator {
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

// TestWithoutPrefillEnginesDecodeEnginesRead gives each decode engine one prompt at a time, and
// the next one once that has been read.
func TestWithoutPrefillEnginesDecodeEnginesRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	alone := newOverflowing(&now)
	first, second := alone.Assign(t.Context(), requestOf("first", 0)), alone.Assign(t.Context(), requestOf("second", 0))
	g.Expect(first.LocalPrefill).To(BeTrue())
	g.Expect(first.Prefill).To(BeEmpty())
	g.Expect([]string{first.Decode, second.Decode}).To(ConsistOf("a", "b"))
	g.Expect(alone.Assign(t.Context(), requestOf("third", 0)).Decode).To(BeEmpty())
	now += 300 * time.Millisecond
	alone.PrefillDone("s", "first", first.Decode)
	g.Expect(alone.Assign(t.Context(), requestOf("third", 0)).Decode).To(Equal(first.Decode))
}

// TestOverflowOnlyWhereDecodeEnginesHaveTime keeps the prefill engine behind. Decode engines
// read as long as their memory is mostly free, and no longer.
func TestOverflowOnlyWhereDecodeEnginesHaveTime(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	behind := newOverflowing(&now, "p")
	byThemselves := 0
	for i := range 40 {
		id := strconv.Itoa(i)
		given := behind.Assign(t.Context(), requestOf(id, 0))
		if !given.LocalPrefill {
			continue
		}
		byThemselves++
		g.Expect(behind.state("s").decode.MemoryShare(now)).To(BeNumerically("<", overflowMemoryShare+0.1))
		behind.PrefillDone("s", id, given.Decode)
	}
	g.Expect(byThemselves).To(BeNumerically(">", 0))
	g.Expect(behind.state("s").decode.MemoryShare(now)).To(BeNumerically("<", overflowMemoryShare+0.1))
}

// TestDemandFollowsTheRequests asks at a steady rate, and wants the demand that reading times
// and memory give. A request that was refused before is not counted again.
func TestDemandFollowsTheRequests(t *testing.T) {
	g := NewWithT(t)
	const (
		perSecond = 10
		seconds   = 60
	)
	now := time.Duration(0)
	measured := newOverflowing(&now, "p", "q", "r", "s")
	if _, known := measured.Demand("s"); known {
		t.Fatal("known without a request")
	}
	for i := range perSecond * seconds {
		now += time.Second / perSecond
		id := strconv.Itoa(i)
		request := requestOf(id, 0)
		returning := requestOf(id+"-again", 0)
		returning.Late = true
		measured.Assign(t.Context(), request)
		measured.PrefillDone("s", id, "")
		measured.End(RunResult{Service: "s", ID: id})
		measured.Assign(t.Context(), returning)
		measured.End(RunResult{Service: "s", ID: id + "-again"})
	}
	demand, known := measured.Demand("s")
	g.Expect(known).To(BeTrue())
	// 8,000 tokens at the first guess of 50,000 a second.
	g.Expect(demand.Prefill).To(BeNumerically("~", perSecond*0.16, 0.1))
	// 8,250 of 97,000 tokens for 0.65 s.
	g.Expect(demand.Decode).To(BeNumerically("~", perSecond*0.65*8250/97_000, 0.05))
}
