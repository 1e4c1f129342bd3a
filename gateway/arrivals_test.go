package gateway

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestArrivalsBeyondTheFirst: a prompt that an engine has read belongs to the first run; all other calls
// that reach a back end, also those that it rejects, are arrivals of their own.
func TestArrivalsBeyondTheFirst(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		what   string
		counts arrivals
		beyond int
	}{
		{"nothing", arrivals{}, 0},
		{"a plain request", arrivals{runs: 1}, 0},
		{"a plain request sent again", arrivals{runs: 2}, 1},
		{"a prompt on its way or rejected", arrivals{prompts: 1}, 0},
		{"a prompt that was read", arrivals{prompts: 1, promptRead: true}, 0},
		{"the usual answer", arrivals{prompts: 1, promptRead: true, runs: 1}, 0},
		{"an answer after a rejected prompt", arrivals{prompts: 1, runs: 1}, 1},
		{"an answer after a rejected prompt and one that was read", arrivals{prompts: 2, promptRead: true, runs: 1}, 1},
		{"an answer after three rejected prompts", arrivals{prompts: 3, runs: 1}, 3},
		{"prompt and answer once more", arrivals{prompts: 2, promptRead: true, runs: 2}, 2},
		{"prompts of which only the last was read", arrivals{prompts: 3, promptRead: true}, 1},
	} {
		g.Expect(c.counts.beyondFirst()).To(Equal(c.beyond), c.what)
	}
}
