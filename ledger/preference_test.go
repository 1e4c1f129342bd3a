package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAssignPrefersZoneUnlessMuchFuller assigns runs to two engines, of which one is in the zone of
// their node. That engine must get them until it is a tenth fuller than the other one.
func TestAssignPrefersZoneUnlessMuchFuller(t *testing.T) {
	g := NewWithT(t)
	l := New(Options{})
	l.SetEngines([]Engine{{ID: "far", Memory: 10_000, Slots: 32}, {ID: "near", Memory: 10_000, Slots: 32}})
	sameZone := func(id string) bool { return id == "near" }
	assigned := func(id string) string {
		engine, ok := l.AssignPreferring(time.Second, Run{ID: id, Prompt: 500, Output: 1, Holder: "n"}, nil, sameZone)
		g.Expect(ok).To(BeTrue())
		return engine
	}
	for _, id := range []string{"a", "b"} {
		g.Expect(assigned(id)).To(Equal("near"))
	}
	counts := map[string]int{}
	for _, id := range []string{"c", "d", "e", "f", "g", "h", "i", "j"} {
		counts[assigned(id)]++
	}
	g.Expect(counts["far"]).To(BeNumerically(">=", 3), "the engine of the other zone is used as well")
	g.Expect(l.Counts()["near"]-l.Counts()["far"]).To(BeNumerically("<=", 2), "near is at most a tenth fuller")
}
