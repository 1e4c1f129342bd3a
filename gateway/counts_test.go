package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/routing"
)

// TestRouteCountsResetWhenTaken checks that requests are counted by route, without those that have no route,
// and that the counts start at zero again after they have been taken.
func TestRouteCountsResetWhenTaken(t *testing.T) {
	g := NewWithT(t)
	var counters routeCounters
	first := &exchange{route: &routing.Route{Name: "b"}}
	retried := &exchange{route: &routing.Route{Name: "b"}, clientRetry: clientRetryEvidence{age: time.Second}}
	other := &exchange{route: &routing.Route{Name: "a"}}
	counters.add(first, func(counts *RouteCounts) { counts.InTime++ })
	counters.add(retried, func(counts *RouteCounts) { counts.Late++ })
	counters.add(other, func(counts *RouteCounts) { counts.Rejected++ })
	counters.add(&exchange{}, func(counts *RouteCounts) { counts.Failed++ })
	g.Expect(counters.take()).To(Equal([]RouteCounts{
		{Route: "a", FirstAttempts: 1, Rejected: 1}, {Route: "b", FirstAttempts: 1, InTime: 1, Late: 1},
	}))
	g.Expect(counters.take()).To(BeEmpty())
}
