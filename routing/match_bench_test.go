package routing_test

import (
	"fmt"
	"testing"

	"github.com/reelrun/reelrun/routing"
)

// BenchmarkMatch measures the cost of matching a route, by the number of routes of the host.
func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{48, 1_448, 14_048, 20_048} {
		b.Run(fmt.Sprintf("routes=%d", count), func(b *testing.B) {
			routes := make([]*routing.Route, count)
			for i := range routes {
				routes[i] = &routing.Route{Host: "host", PathPrefix: fmt.Sprintf("/route-%d/", i)}
			}
			configuration := routing.New(1, routes, nil, routing.Limits{})
			path := routes[count/2].PathPrefix + "rest"
			for b.Loop() {
				if configuration.Match("host", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
