package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestUpstreamRetriesOfArrivals checks that an accepted prefill belongs to the first run, and that all
// other calls that reach a backend count separately, also those that it rejects.
func TestUpstreamRetriesOfArrivals(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		what    string
		counts  arrivals
		retries int
	}{
		{"nothing", arrivals{}, 0},
		{"a plain request", arrivals{runs: 1}, 0},
		{"a plain request sent again", arrivals{runs: 2}, 1},
		{"a prefill on its way or rejected", arrivals{prefills: 1}, 0},
		{"an accepted prefill", arrivals{prefills: 1, prefilled: true}, 0},
		{"a usual run", arrivals{prefills: 1, prefilled: true, runs: 1}, 0},
		{"a run after a rejected prefill", arrivals{prefills: 1, runs: 1}, 1},
		{"a run after a rejected prefill and an accepted one", arrivals{prefills: 2, prefilled: true, runs: 1}, 1},
		{"a run after three rejected prefills", arrivals{prefills: 3, runs: 1}, 3},
		{"prefill and run once more", arrivals{prefills: 2, prefilled: true, runs: 2}, 2},
		{"prefills of which only the last was accepted", arrivals{prefills: 3, prefilled: true}, 1},
	} {
		g.Expect(c.counts.upstreamRetries()).To(Equal(c.retries), c.what)
	}
}
