package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestSlowPrefillEngineServesWhileIdle has one prefill engine that needs twice the objective for a
// prompt. A first attempt and a retry are assigned to it while it is idle, and neither while it has
// a prompt.
func TestSlowPrefillEngineServesWhileIdle(t *testing.T) {
	for name, retry := range map[string]bool{"first attempt": false, "retry": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := time.Duration(0)
			slow := New(Options{
				Engines: func(string) Engines {
					return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 1_000_000, Slots: 64}}, Prefill: []string{"p"}}
				},
				Nodes: func() int { return 1 },
				Now:   func() time.Duration { return now },
			})
			for i := range 20 {
				id := strconv.Itoa(i)
				slow.state("s").prefill.add(now, "p", ledger.Run{ID: id, Prompt: 8000})
				now += 2 * time.Second
				slow.state("s").prefill.complete(now, id, "p")
			}
			assign := func(id string) Assignment {
				request := requestOf(id, 0)
				request.Late = retry
				return slow.Assign(t.Context(), request)
			}
			// A decode engine takes one prompt at a time, and this one is busy with a local
			// prefill.
			slow.state("s").localPrefill.add(now, "d", ledger.Run{ID: "read by d", Prompt: 8000})
			g.Expect(assign("idle").Prefill).To(Equal("p"))
			g.Expect(assign("busy").Decode).To(BeEmpty())
		})
	}
}

// TestPrefillPrefersZoneOfDecodeEngine has two prefill engines in each of two zones. An engine in
// the zone of the decode engine gets the prompt, unless it would be ready much later.
func TestPrefillPrefersZoneOfDecodeEngine(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	zones := map[string]string{"d": "b", "a1": "a", "a2": "a", "b1": "b", "b2": "b"}
	zoned := New(Options{
		Engines: func(string) Engines {
			return Engines{
				Decode:  []ledger.Engine{{ID: "d", Memory: 1_000_000, Slots: 64}},
				Prefill: []string{"a1", "a2", "b1", "b2"},
				ZoneOf:  func(engine string) string { return zones[engine] },
			}
		},
		Nodes: func() int { return 1 }, Now: func() time.Duration { return now },
	})
	prefillOf := func(id string) string {
		return zoned.Assign(t.Context(), requestOf(id, 0)).Prefill
	}
	g.Expect([]string{prefillOf("first"), prefillOf("second")}).To(ConsistOf("b1", "b2"))
	// Both engines of zone b have 8,000 tokens to prefill, which takes 160 ms.
	g.Expect(prefillOf("third")).To(HavePrefix("a"))
	now += 130 * time.Millisecond
	g.Expect(prefillOf("fourth")).To(HavePrefix("b"), "30 ms are not much later")
}
