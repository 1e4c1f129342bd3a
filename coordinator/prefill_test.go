package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

func prompts(tokens int, id string) ledger.Run { return ledger.Run{ID: id, Prompt: tokens} }

// TestQueuedPromptsDoNotTeachSlowness: prompts that waited took longer, and an
// engine that is taken for slow would be taken for slower with each.
func TestQueuedPromptsDoNotTeachSlowness(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	for i := range 50 {
		id := string(rune('a' + i))
		queue.add(0, "e", prompts(5000, id))
	}
	for i := range 50 {
		queue.done(string(rune('a'+i)), time.Duration(i+1)*100*time.Millisecond)
	}
	g.Expect(queue.engine("e").slowness).To(BeNumerically("~", 1, 0.01))
}

func TestAloneOneTeachesSlowness(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	now := time.Duration(0)
	for range 20 {
		queue.add(now, "slow", prompts(5000, "p"))
		queue.done("p", 300*time.Millisecond)
		now += 10 * time.Second
	}
	g.Expect(queue.engine("slow").slowness).To(BeNumerically("~", 3, 0.1))
	best, ready := queue.shortest(now, []string{"slow", "other"}, prompts(5000, "next"), nil)
	g.Expect(best).To(Equal("other"))
	g.Expect(ready).To(Equal(100 * time.Millisecond))
}

func TestAPromptThatWasNotReadLeavesTheQueue(t *testing.T) {
	g := NewWithT(t)
	queue := newPrefillQueue()
	queue.add(0, "e", prompts(5000, "read"))
	queue.add(0, "e", prompts(5000, "refused"))
	queue.done("refused", 0)
	_, ready := queue.shortest(0, []string{"e"}, prompts(5000, "next"), nil)
	g.Expect(ready).To(Equal(200 * time.Millisecond))
}
