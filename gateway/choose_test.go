package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

// BenchmarkPick chooses among the back ends of a large plain service.
func BenchmarkPick(b *testing.B) {
	for _, many := range []int{1350, 10_000, 20_000} {
		b.Run(fmt.Sprintf("backends=%d", many), func(b *testing.B) {
			handler := newChoosing(many)
			b.ReportAllocs()
			for b.Loop() {
				if handler.pick("s", backend.RoleNone, nil) == nil {
					b.Fatal("none")
				}
			}
		})
	}
}

// TestAChoiceCostsTheSameAmongMany counts what a choice allocates among 10,000 and 20,000 back ends.
func TestAChoiceCostsTheSameAmongMany(t *testing.T) {
	g := NewWithT(t)
	allocations := func(many int) float64 {
		handler := newChoosing(many)
		return testing.AllocsPerRun(100, func() { handler.pick("s", backend.RoleNone, nil) })
	}
	g.Expect(allocations(10_000)).To(BeNumerically("<=", allocations(200)))
	g.Expect(allocations(20_000)).To(BeNumerically("<=", allocations(200)))
}

// TestChoicesSpreadOverAllBackEnds has nodes of five zones choose as often as there are requests in minutes:
// each back end gets about as many, whether nodes stay in their zones or these are full.
func TestChoicesSpreadOverAllBackEnds(t *testing.T) {
	const (
		backends = 1350
		choices  = 40_000
	)
	counts := map[string]int{}
	for _, zone := range []string{"a", "b", "c", "d", "e"} {
		handler := newChoosing(backends)
		handler.options.Zone = zone
		for range choices / 5 {
			counts[handler.pick("s", backend.RoleNone, nil).ID()]++
		}
	}
	g := NewWithT(t)
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	g.Expect(len(counts)).To(BeNumerically(">", backends*99/100))
	g.Expect(most).To(BeNumerically("<", 2*choices/backends+10))
}

// TestAllAreLookedAtWhereTheFewCannot has all but one of many back ends tried before.
func TestAllAreLookedAtWhereTheFewCannot(t *testing.T) {
	g := NewWithT(t)
	handler := newChoosing(500)
	tried := map[string]bool{}
	for _, entry := range handler.options.Backends.Ready("s", backend.RoleNone) {
		tried[entry.ID()] = true
	}
	delete(tried, "server-00123")
	g.Expect(handler.pick("s", backend.RoleNone, tried).ID()).To(Equal("server-00123"))
	tried["server-00123"] = true
	g.Expect(handler.pick("s", backend.RoleNone, tried)).To(BeNil())
}

// newChoosing returns a handler of a node in zone a before so many plain back ends in five zones.
func newChoosing(many int) *Handler {
	backends := backend.NewRegistry(time.Now)
	for number := range many {
		backends.Update(backend.Backend{
			ID: fmt.Sprintf("server-%05d", number), Service: "s", State: backend.StateReady, Slots: 6, Zone: string(rune('a' + number%5)),
		})
	}
	return &Handler{options: Options{
		Zone: "a", Backends: backends, Assignable: func(*backend.Entry) bool { return true },
		Admission: admission.NewNode("n", func() time.Duration { return 0 }),
	}}
}
