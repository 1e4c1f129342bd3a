package ledger

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFitsAgreesWithAssignment assigns runs until none fits: Fits must foretell each result, and change nothing.
func TestFitsAgreesWithAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assigned := New(Options{})
		engines := make([]Engine, rapid.IntRange(1, 4).Draw(t, "engines"))
		for i := range engines {
			engines[i] = Engine{ID: strconv.Itoa(i), Memory: rapid.IntRange(1000, 50_000).Draw(t, "memory"), Slots: rapid.IntRange(1, 6).Draw(t, "slots")}
		}
		assigned.SetEngines(engines)
		now := time.Duration(0)
		for i := range 30 {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			run := Run{
				ID: strconv.Itoa(i), Holder: "n", Prompt: rapid.IntRange(1, 8000).Draw(t, "prompt"),
				Output: rapid.IntRange(1, 4000).Draw(t, "output"), MaxOutput: 4000,
			}
			before := assigned.Len()
			fits := assigned.Fits(now, run)
			if assigned.Len() != before {
				t.Fatal("the check has changed the ledger")
			}
			if _, ok := assigned.Assign(now, run, nil); ok != fits {
				t.Fatalf("fits %t, assigned %t", fits, ok)
			}
			if rapid.Bool().Draw(t, "ends") {
				assigned.End(strconv.Itoa(rapid.IntRange(0, i).Draw(t, "ended")), OutputTiming{})
			}
		}
	})
}
