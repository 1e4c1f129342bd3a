package router

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// TestIdleEnginesArePolledInRotation has 300 engines, ten of them busy, which must
// be polled in each round.
func TestIdleEnginesArePolledInRotation(t *testing.T) {
	g := NewWithT(t)
	const engines, busy = 300, 10
	var ids []string
	isBusy := map[string]bool{}
	for i := range engines {
		ids = append(ids, fmt.Sprintf("e%03d", i))
		isBusy[ids[i]] = i%(engines/busy) == 0
	}
	var rotation reportRotation
	counts := map[string]int{}
	const rounds = 5
	for range rounds {
		polled := rotation.next(ids, func(id string) bool { return isBusy[id] })
		g.Expect(polled).To(HaveLen(busy + idleReports))
		for _, id := range polled {
			counts[id]++
		}
	}
	for _, id := range ids {
		if isBusy[id] {
			g.Expect(counts[id]).To(Equal(rounds), id)
		} else {
			g.Expect(counts[id]).To(BeNumerically(">=", 1), id)
		}
	}
	few := rotation.next(ids[:40], func(string) bool { return false })
	g.Expect(few).To(ConsistOf(ids[:40]), "all engines of a small fleet are polled")
}
