package routing_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/routing"
)

// TestLongestPrefixWins compares Match with a linear search over all routes.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab"})
		path := func(label string) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, label), "/")
		}
		host := rapid.SampledFrom([]string{"x", "y"})
		var routes []*routing.Route
		for range rapid.IntRange(0, 10).Draw(t, "routes") {
			prefix := strings.TrimSuffix(path("prefix"), "/") + "/"
			routes = append(routes, &routing.Route{Host: host.Draw(t, "host"), PathPrefix: prefix})
		}
		configuration := routing.New(1, routes, nil, routing.Limits{})
		requestHost, requestPath := host.Draw(t, "wanted host"), path("wanted path")
		longest := -1
		for _, route := range routes {
			if route.Host == requestHost && strings.HasPrefix(requestPath, route.PathPrefix) {
				longest = max(longest, len(route.PathPrefix))
			}
		}
		found := configuration.Match(requestHost, requestPath)
		switch {
		case found == nil && longest >= 0, found != nil && (len(found.PathPrefix) != longest || found.Host != requestHost):
			t.Fatalf("found %v, longest %d", found, longest)
		}
	})
}

func TestTargetsSplitByWeight(t *testing.T) {
	g := NewWithT(t)
	route := &routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[route.Target(float64(i)/draws)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 900, "b": 100}))
	g.Expect((&routing.Route{}).Target(0.5)).To(BeEmpty())
}

func TestIdempotentRoutes(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&routing.Route{Kind: routing.KindIdempotent}).Idempotent()).To(BeTrue())
	g.Expect((&routing.Route{Kind: routing.KindNonIdempotent, Resumable: true}).Idempotent()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.KindStream}).Idempotent()).To(BeFalse())
	g.Expect((&routing.Route{Kind: routing.KindStream, Resumable: true}).Idempotent()).To(BeTrue())
}
