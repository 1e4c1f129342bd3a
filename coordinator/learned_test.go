package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// newLearning returns a coordinator of one engine of each role that uses the given clock.
func newLearning(now *time.Duration) *Coordinator {
	return New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 1_000_000, Slots: 64}}, Prefill: []string{"p"}}
		},
		Nodes: func() int { return 1 }, Now: func() time.Duration { return *now },
	})
}

// TestNewCoordinatorAdoptsLearnedModel has a coordinator learn that prefills take six times as long
// and outputs are twice as long as initially estimated. A successor that adopts its model expects
// the same of its first run, within a tenth; a successor without the model expects a sixth of the
// prefill time and half of the output.
func TestNewCoordinatorAdoptsLearnedModel(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	trained, untrained, next := newLearning(&now), newLearning(&now), newLearning(&now)
	for i := range 60 {
		id := strconv.Itoa(i)
		request := requestOf(id, 0)
		request.Objective = time.Minute
		assigned := trained.Assign(t.Context(), request)
		g.Expect(assigned.Decode).To(Equal("d"))
		now += time.Second
		trained.PrefillDone("s", id, assigned.Prefill)
		now += 2 * time.Second
		trained.End(RunResult{Service: "s", ID: id, Duration: 3 * time.Second, Output: 1000, FirstEvent: time.Second, RestTokens: 900})
	}
	next.Adopt("s", decodeLearned(encodeLearned(trained.Learned("s"))))
	assign := func(target *Coordinator) Assignment {
		request := requestOf("first", 0)
		request.Run.MaxOutput = 4000
		request.Objective = time.Minute
		return target.Assign(t.Context(), request)
	}
	before, after, without := assign(trained), assign(next), assign(untrained)
	g.Expect(after.Output).To(BeNumerically("~", before.Output, before.Output/10))
	g.Expect(after.PromptReady).To(BeNumerically("~", before.PromptReady, before.PromptReady/10))
	g.Expect(next.State("s").DecodeRate).To(BeNumerically("~", trained.State("s").DecodeRate, 1))
	g.Expect(without.Output).To(BeNumerically("<", before.Output*6/10))
	g.Expect(without.PromptReady).To(BeNumerically("<", before.PromptReady/5))
}
