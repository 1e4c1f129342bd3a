package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

func promptOf(tokens int, id string) ledger.Run { return ledger.Run{ID: id, Prompt: tokens} }

// newTrainedQueue returns a queue that has learned that engines take 100 ms for 5,000 tokens.
func newTrainedQueue(engines ...string) *prefillQueue {
	queue := newPrefillQueue()
	for _, engine := range engines {
		for range 20 {
			queue.model.Observe(engine, 5000, 100*time.Millisecond)
		}
	}
	return queue
}

// TestQueueingTimeIsNotLearnedAsPrefillTime guards against a feedback loop: if the time in the
// queue counted as prefill time, an engine that seems slow would seem slower with each prompt.
func TestQueueingTimeIsNotLearnedAsPrefillTime(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("e")
	for i := range 40 {
		queue.add(0, "e", promptOf(5000, strconv.Itoa(i)))
	}
	_, ready := queue.shortest(0, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(BeNumerically("~", 4100*time.Millisecond, 5*time.Millisecond))
	for i := range 40 {
		queue.complete(time.Duration(i+1)*100*time.Millisecond, strconv.Itoa(i), "e")
	}
	g.Expect(queue.model.Duration("e", 5000)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
}

// TestSlownessIsLearnedAndForgottenUnderLoad has an engine, which always has a queue, become slow
// and recover. The estimate must follow both changes.
func TestSlownessIsLearnedAndForgottenUnderLoad(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("e", "other")
	now := time.Duration(0)
	queue.add(now, "e", promptOf(5000, "0"))
	next := 1
	serve := func(prefill time.Duration) {
		for range 30 {
			queue.add(now, "e", promptOf(5000, strconv.Itoa(next)))
			now += prefill
			queue.complete(now, strconv.Itoa(next-1), "e")
			next++
		}
	}
	serve(300 * time.Millisecond)
	g.Expect(queue.model.Duration("e", 5000)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
	best, ready := queue.shortest(now, []string{"e", "other"}, promptOf(5000, "next"), nil)
	g.Expect(best).To(Equal("other"))
	g.Expect(ready).To(BeNumerically("<", 150*time.Millisecond))
	serve(100 * time.Millisecond)
	g.Expect(queue.model.Duration("e", 5000)).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
}

// TestSlowPrefillOfNewDeploymentIsLearned starts with the initial estimate only, on engines that
// are a quarter as fast.
func TestSlowPrefillOfNewDeploymentIsLearned(t *testing.T) {
	g := NewWithT(t)
	const rate = 12_000
	queue := newPrefillQueue()
	now := time.Duration(0)
	for i, tokens := range []int{3000, 800, 5200, 2400, 4100, 1500, 3300, 6000, 2900, 3700} {
		id := strconv.Itoa(i)
		queue.add(now, "e", promptOf(tokens, id))
		now += time.Duration(tokens) * time.Second / rate
		queue.complete(now, id, "e")
	}
	_, ready := queue.shortest(now, []string{"e"}, promptOf(4000, "next"), nil)
	want := 4000 * time.Second / rate
	g.Expect(ready).To(BeNumerically("~", want, want/10))
}

func TestDroppedPromptLeavesQueue(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("e")
	queue.add(0, "e", promptOf(5000, "read"))
	queue.add(0, "e", promptOf(5000, "refused"))
	queue.drop("refused")
	queue.drop("refused")
	_, ready := queue.shortest(0, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(BeNumerically("~", 200*time.Millisecond, time.Millisecond))
}

// TestPrefillOnOtherEngineIsNotLearned has the assigned engine fail and another one run the
// prefill.
func TestPrefillOnOtherEngineIsNotLearned(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("e", "other")
	queue.add(0, "e", promptOf(5000, "p"))
	queue.complete(900*time.Millisecond, "p", "other")
	g.Expect(queue.model.Duration("e", 5000)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(queue.model.Duration("other", 5000)).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(queue.engineOf).To(BeEmpty())
}

// TestPromptsOfLostNodesExpire adds prompts whose prefill is never reported as done, because their
// node was lost. They must leave the queue after promptLifetime.
func TestPromptsOfLostNodesExpire(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("e")
	for i := range 20 {
		queue.add(0, "e", promptOf(5000, strconv.Itoa(i)))
	}
	_, ready := queue.shortest(6*time.Second, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(BeNumerically("~", 100*time.Millisecond, time.Millisecond))
	g.Expect(queue.engineOf).To(BeEmpty())
	queue.complete(6*time.Second, "3", "e")
}

// TestStalledEngineIsSkipped assigns prompts to an engine that never finishes one. Once its first
// prompt is overdue, it must get no more, while an engine that is slow but makes progress still
// does.
func TestStalledEngineIsSkipped(t *testing.T) {
	g := NewWithT(t)
	queue := newTrainedQueue("silent", "steady")
	for i := range 8 {
		queue.add(0, "silent", promptOf(5000, "s"+strconv.Itoa(i)))
		queue.add(0, "steady", promptOf(5000, "t"+strconv.Itoa(i)))
	}
	for i := range 4 {
		queue.complete(time.Duration(i+1)*200*time.Millisecond, "t"+strconv.Itoa(i), "steady")
	}
	best, _ := queue.shortest(800*time.Millisecond, []string{"silent", "steady"}, promptOf(5000, "next"), nil)
	g.Expect(best).To(Equal("steady"))
	best, _ = queue.shortest(800*time.Millisecond, []string{"silent"}, promptOf(5000, "next"), nil)
	g.Expect(best).To(BeEmpty())
}

// TestEnginesMuchSlowerThanInitialRateAreLearned has every node give up on a prompt after twice the
// expected time plus half a second, on engines that prefill 2,000 tokens a second.
func TestEnginesMuchSlowerThanInitialRateAreLearned(t *testing.T) {
	g := NewWithT(t)
	const (
		rate   = 2000
		tokens = 6000
	)
	queue := newPrefillQueue()
	now := time.Duration(0)
	needed := tokens * time.Second / rate
	for i := range 4 {
		id := strconv.Itoa(i)
		engine, ready := queue.shortest(now, []string{"e"}, promptOf(tokens, id), nil)
		g.Expect(engine).To(Equal("e"))
		queue.add(now, "e", promptOf(tokens, id))
		if limit := 2*ready + 500*time.Millisecond; limit < needed {
			now += limit
			queue.timeOut(now, id, "e")
			continue
		}
		now += needed
		queue.complete(now, id, "e")
	}
	_, ready := queue.shortest(now, []string{"e"}, promptOf(tokens, "next"), nil)
	g.Expect(ready).To(BeNumerically("~", needed, needed/4))
}
