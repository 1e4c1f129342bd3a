package router

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestStaleNodeWatchesStoreForLimitedTime lets a node receive nothing, then its own changes from others, then
// nothing again.
func TestStaleNodeWatchesStoreForLimitedTime(t *testing.T) {
	g := NewWithT(t)
	decision, now := newStaleness(), time.Unix(1000, 0)
	observe := func(after, age time.Duration) (watches, began bool) {
		now = now.Add(after)
		return decision.observe(now, age)
	}
	watches, _ := observe(0, 400*time.Millisecond)
	g.Expect(watches).To(BeFalse())
	watches, began := observe(time.Second, 2*time.Second)
	g.Expect([]bool{watches, began}).To(Equal([]bool{true, true}))
	watches, began = observe(staleWatchTime-time.Second, 0)
	g.Expect([]bool{watches, began}).To(Equal([]bool{true, false}))
	watches, _ = observe(time.Second, 0)
	g.Expect(watches).To(BeFalse())
	_, began = observe(time.Second, 2*time.Second)
	g.Expect(began).To(BeTrue())
}

// TestStaleLimitsDiffer checks that nodes have different limits, so that nodes that are partitioned together do
// not all start to watch the store at once.
func TestStaleLimitsDiffer(t *testing.T) {
	g := NewWithT(t)
	limits := map[time.Duration]bool{}
	for range 100 {
		limit := newStaleness().limit
		limits[limit] = true
		g.Expect(limit).To(BeNumerically("~", staleAfter, staleJitter/2))
	}
	g.Expect(len(limits)).To(BeNumerically(">", 50))
}
