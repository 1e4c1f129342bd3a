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
		{"a prompt on its way or rejected", arrivals{prefills: 1}, 0},
		{"a prompt that was read", arrivals{prefills: 1, prefilled: true}, 0},
		{"the usual answer", arrivals{prefills: 1, prefilled: true, runs: 1}, 0},
		{"an answer after a rejected prompt", arrivals{prefills: 1, runs: 1}, 1},
		{"an answer after a rejected prompt and one that was read", arrivals{prefills: 2, prefilled: true, runs: 1}, 1},
		{"an answer after three rejected prompts", arrivals{prefills: 3, runs: 1}, 3},
		{"prompt and answer once more", arrivals{prefills: 2, prefilled: true, runs: 2}, 2},
		{"prompts of which only the last was read", arrivals{prefills: 3, prefilled: true}, 1},
	} {
		g.Expect(c.counts.upstreamRetries()).To(Equal(c.retries), c.what)
	}
}
