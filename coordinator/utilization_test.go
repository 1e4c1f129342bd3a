package coordinator

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestDecodeUtilizationIsLearned assigns runs of 3,000 tokens to an engine of 10,000: three fit,
// and a tenth of the memory stays free.
func TestDecodeUtilizationIsLearned(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	coordinator := New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 10_000, Slots: 8}}, Prefill: []string{"p"}}
		},
		Nodes: func() int { return 1 }, Now: func() time.Duration { return now },
	})
	demand, _ := coordinator.Demand("s")
	g.Expect(demand.DecodeUtilization).To(BeZero(), "not observed yet")
	assigned := 0
	for i := range 40 {
		run := ledger.Run{ID: fmt.Sprint("run", i), Prompt: 3000, Output: 1, MaxOutput: 1, Holder: "node"}
		if coordinator.Assign(t.Context(), &Request{Service: "s", Objective: 10 * time.Second, Run: run}).Decode != "" {
			assigned++
		}
		now += 10 * time.Millisecond
	}
	g.Expect(assigned).To(Equal(3))
	demand, _ = coordinator.Demand("s")
	g.Expect(demand.DecodeUtilization).To(BeNumerically("~", 0.9, 0.01))
}
