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

// TestNewCoordinatorAdoptsLearnedModel has a coordinator learn that prefills take six times and
// answers twice as long as initially estimated. With its model a successor expects the same of its
// first run, within a tenth; without it the successor expects a sixth and a half of that.
func TestNewCoordinatorAdoptsLearnedModel(t *testing.T) {
	g := NewWithT(t)
	now := time.Second
	taught, untaught, next := newLearning(&now), newLearning(&now), newLearning(&now)
	for i := range 60 {
		id := strconv.Itoa(i)
		request := requestOf(id, 0)
		request.Objective = time.Minute
		given := taught.Assign(t.Context(), request)
		g.Expect(given.Decode).To(Equal("d"))
		now += time.Second
		taught.PrefillDone("s", id, given.Prefill)
		now += 2 * time.Second
		taught.End(RunResult{Service: "s", ID: id, Duration: 3 * time.Second, Output: 1000, FirstEvent: time.Second, RestTokens: 900})
	}
	next.Adopt("s", decodeLearned(encodeLearned(taught.Learned("s"))))
	ask := func(asked *Coordinator) Assignment {
		request := requestOf("first", 0)
		request.Run.MaxOutput = 4000
		request.Objective = time.Minute
		return asked.Assign(t.Context(), request)
	}
	before, after, without := ask(taught), ask(next), ask(untaught)
	g.Expect(after.Output).To(BeNumerically("~", before.Output, before.Output/10))
	g.Expect(after.PromptReady).To(BeNumerically("~", before.PromptReady, before.PromptReady/10))
	g.Expect(next.State("s").DecodeRate).To(BeNumerically("~", taught.State("s").DecodeRate, 1))
	g.Expect(without.Output).To(BeNumerically("<", before.Output*6/10))
	g.Expect(without.PromptReady).To(BeNumerically("<", before.PromptReady/5))
}
