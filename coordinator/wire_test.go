package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// TestRunResultRoundTrip encodes and decodes a run result. A field that the encoding omits would
// reach the coordinator only from its own node.
func TestRunResultRoundTrip(t *testing.T) {
	g := NewWithT(t)
	result := RunResult{Service: "s", ID: "run", Duration: 3500 * time.Millisecond, Output: 640, FirstEvent: 210 * time.Millisecond, RestTokens: 631, Rejection: RejectionFull}
	g.Expect(decodeRunResult(encodeRunResult(result))).To(Equal(result))
}

// TestRemoteResultsTeachDecodeRate ends runs of other nodes at a fifth of the initial decode rate.
// The ledger must then expect such runs to last five times as long.
func TestRemoteResultsTeachDecodeRate(t *testing.T) {
	const (
		runs     = 100
		rate     = 200
		duration = 3 * time.Second
	)
	g := NewWithT(t)
	now := time.Duration(0)
	learning := New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 100_000, Slots: 64}}, Prefill: []string{"p"}}
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Duration { return now },
	})
	for range runs {
		g.Expect(learning.Assign(t.Context(), requestOf("run", 0)).Decode).To(Equal("d"))
		now += duration
		_, err := learning.Handle(t.Context(), &peerpb.Request{Body: &peerpb.Request_EndRun{EndRun: encodeRunResult(RunResult{
			Service: "s", ID: "run", Duration: duration, Output: int(rate * duration.Seconds()),
			FirstEvent: duration / 10, RestTokens: int(rate * duration.Seconds() * 9 / 10),
		})}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(learning.state("s").decode.DecodeRate()).To(BeNumerically("~", rate, rate/10))
}
