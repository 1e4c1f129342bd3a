package ledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestAnEngineOfTheZoneIsTakenUnlessMuchFuller fills the engine of a node's zone step by step.
func TestAnEngineOfTheZoneIsTakenUnlessMuchFuller(t *testing.T) {
	g := NewWithT(t)
	books := New(Options{})
	books.SetEngines([]Engine{{ID: "far", Memory: 10_000, Slots: 32}, {ID: "near", Memory: 10_000, Slots: 32}})
	isNear := func(id string) bool { return id == "near" }
	given := func(id string) string {
		engine, ok := books.AssignPreferring(time.Second, Run{ID: id, Prompt: 500, Output: 1, Holder: "n"}, nil, isNear)
		g.Expect(ok).To(BeTrue())
		return engine
	}
	for _, id := range []string{"a", "b"} {
		g.Expect(given(id)).To(Equal("near"))
	}
	counts := map[string]int{}
	for _, id := range []string{"c", "d", "e", "f", "g", "h", "i", "j"} {
		counts[given(id)]++
	}
	g.Expect(counts["far"]).To(BeNumerically(">=", 3), "the far one is taken as well")
	g.Expect(books.Counts()["near"]-books.Counts()["far"]).To(BeNumerically("<=", 2), "near is at most a tenth fuller")
}
