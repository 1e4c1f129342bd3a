package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

// BenchmarkPick measures a pick among the backends of a large plain service.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{1350, 10_000, 20_000} {
		b.Run(fmt.Sprintf("backends=%d", count), func(b *testing.B) {
			handler := newPickHandler(count)
			b.ReportAllocs()
			for b.Loop() {
				if handler.pick("s", backend.RoleNone, exclusions{}) == nil {
					b.Fatal("no backend was picked")
				}
			}
		})
	}
}

// TestPickAllocationsDoNotGrowWithBackends compares the allocations of a pick among 10,000 and 20,000
// backends with those among 200.
func TestPickAllocationsDoNotGrowWithBackends(t *testing.T) {
	g := NewWithT(t)
	allocations := func(count int) float64 {
		handler := newPickHandler(count)
		return testing.AllocsPerRun(100, func() { handler.pick("s", backend.RoleNone, exclusions{}) })
	}
	g.Expect(allocations(10_000)).To(BeNumerically("<=", allocations(200)))
	g.Expect(allocations(20_000)).To(BeNumerically("<=", allocations(200)))
}

// TestPicksCoverAllBackends checks that the picks of nodes in five zones spread over all backends, although each
// pick examines only a few: over as many picks as there are requests in a few minutes, almost all backends are
// picked, and none of them more than about twice as often as the mean.
func TestPicksCoverAllBackends(t *testing.T) {
	const (
		backends = 1350
		picks    = 40_000
	)
	counts := map[string]int{}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		handler := newPickHandler(backends)
		handler.options.Zone = zone
		for range picks / 5 {
			counts[handler.pick("s", backend.RoleNone, exclusions{}).ID()]++
		}
	}
	g := NewWithT(t)
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	g.Expect(len(counts)).To(BeNumerically(">", backends*99/100))
	g.Expect(most).To(BeNumerically("<", 2*picks/backends+10))
}

// TestPickFallsBackToAllBackends checks that the only backend that has not been attempted is found among many,
// although a random sample rarely contains it, and that none is picked after that.
func TestPickFallsBackToAllBackends(t *testing.T) {
	g := NewWithT(t)
	handler := newPickHandler(500)
	attempted := map[string]bool{}
	for _, entry := range handler.options.Backends.Ready("s", backend.RoleNone) {
		attempted[entry.ID()] = true
	}
	delete(attempted, "server-00123")
	g.Expect(handler.pick("s", backend.RoleNone, exclusions{attempted: attempted}).ID()).To(Equal("server-00123"))
	attempted["server-00123"] = true
	g.Expect(handler.pick("s", backend.RoleNone, exclusions{attempted: attempted})).To(BeNil())
}

// newPickHandler returns a handler of a node in zone a with the given number of plain backends in five
// zones.
func newPickHandler(count int) *Handler {
	backends := backend.NewRegistry(time.Now)
	for number := range count {
		backends.Update(backend.Backend{
			ID: fmt.Sprintf("server-%05d", number), Service: "s", State: backend.StateReady, Slots: 6, Zone: string(rune('a' + number%5)),
		})
	}
	return &Handler{options: Options{
		Zone: "a", Backends: backends, Assignable: func(*backend.Entry) bool { return true },
		Admission: admission.NewNode("n", func() time.Duration { return 0 }),
	}}
}
