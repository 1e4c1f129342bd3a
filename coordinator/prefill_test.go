package coordinator

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

func promptOf(tokens int, id string) ledger.Run { return ledger.Run{ID: id, Prompt: tokens} }

// TestQueuedPromptsDoNotTeachSlowness: prompts that waited took longer, and an
// engine that is taken for slow would be taken for slower with each.
func TestQueuedPromptsDoNotTeachSlowness(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	for i := range 50 {
		queue.add(0, "e", promptOf(5000, strconv.Itoa(i)))
	}
	_, ready := queue.shortest(0, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(BeNumerically("~", 5100*time.Millisecond, time.Millisecond))
	for i := range 50 {
		queue.remove(time.Duration(i+1)*100*time.Millisecond, strconv.Itoa(i), true)
	}
	g.Expect(queue.engine("e").slowness).To(BeNumerically("~", 1, 0.01))
}

// TestSlownessIsLearnedAndForgottenUnderLoad never leaves the engine idle.
func TestSlownessIsLearnedAndForgottenUnderLoad(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	now := time.Duration(0)
	queue.add(now, "e", promptOf(5000, "0"))
	next := 1
	serve := func(reading time.Duration) {
		for range 30 {
			queue.add(now, "e", promptOf(5000, strconv.Itoa(next)))
			now += reading
			queue.remove(now, strconv.Itoa(next-1), true)
			next++
		}
	}
	serve(300 * time.Millisecond)
	g.Expect(queue.engine("e").slowness).To(BeNumerically("~", 3, 0.1))
	best, ready := queue.shortest(now, []string{"e", "other"}, promptOf(5000, "next"), nil)
	g.Expect(best).To(Equal("other"))
	g.Expect(ready).To(Equal(100 * time.Millisecond))
	serve(100 * time.Millisecond)
	g.Expect(queue.engine("e").slowness).To(BeNumerically("~", 1, 0.1))
}

func TestAPromptThatWasNotReadLeavesTheQueue(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	queue.add(0, "e", promptOf(5000, "read"))
	queue.add(0, "e", promptOf(5000, "refused"))
	queue.remove(0, "refused", false)
	queue.remove(0, "refused", false)
	_, ready := queue.shortest(0, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(Equal(200 * time.Millisecond))
}

// TestPromptsOfLostNodesAreForgotten never tells of their end.
func TestPromptsOfLostNodesAreForgotten(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	for i := range 20 {
		queue.add(0, "e", promptOf(5000, strconv.Itoa(i)))
	}
	_, ready := queue.shortest(6*time.Second, []string{"e"}, promptOf(5000, "next"), nil)
	g.Expect(ready).To(Equal(100 * time.Millisecond))
	g.Expect(queue.reading).To(BeEmpty())
	queue.remove(6*time.Second, "3", true)
}
