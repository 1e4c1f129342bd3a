package router

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAStaleNodeFollowsTheStoreForAWhile has a node hear nothing, then its own word by others, then nothing again.
func TestAStaleNodeFollowsTheStoreForAWhile(t *testing.T) {
	g := NewWithT(t)
	decision, now := newStaleness(), time.Unix(1000, 0)
	observe := func(after, age time.Duration) (follows, began bool) {
		now = now.Add(after)
		return decision.observe(now, age)
	}
	follows, _ := observe(0, 400*time.Millisecond)
	g.Expect(follows).To(BeFalse())
	follows, began := observe(time.Second, 2*time.Second)
	g.Expect([]bool{follows, began}).To(Equal([]bool{true, true}))
	follows, began = observe(followStaleFor-time.Second, 0)
	g.Expect([]bool{follows, began}).To(Equal([]bool{true, false}))
	follows, _ = observe(time.Second, 0)
	g.Expect(follows).To(BeFalse())
	_, began = observe(time.Second, 2*time.Second)
	g.Expect(began).To(BeTrue())
}

// TestNodesGrowStaleAtDifferentTimes looks at the limits of many nodes.
func TestNodesGrowStaleAtDifferentTimes(t *testing.T) {
	g := NewWithT(t)
	limits := map[time.Duration]bool{}
	for range 100 {
		limit := newStaleness().limit
		limits[limit] = true
		g.Expect(limit).To(BeNumerically("~", staleAfter, staleSpread/2))
	}
	g.Expect(len(limits)).To(BeNumerically(">", 50))
}
