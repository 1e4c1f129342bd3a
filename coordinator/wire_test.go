package coordinator

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// TestAnEndKeepsAllItSaysOnTheWire encodes and decodes the end of a run. A field that is lost
// on the way is one that the coordinator never learns from other nodes.
func TestAnEndKeepsAllItSaysOnTheWire(t *testing.T) {
	g := NewWithT(t)
	ended := RunResult{Service: "s", ID: "run", Duration: 3500 * time.Millisecond, Output: 640, FirstEvent: 210 * time.Millisecond, RestTokens: 631, Refusal: RefusalFull}
	g.Expect(decodeEnded(encodeEnded(ended))).To(Equal(ended))
}

// TestOtherNodesTeachThePace ends runs that other nodes held, at a fifth of the pace that a
// new ledger assumes. The ledger then expects such runs to last five times as long.
func TestOtherNodesTeachThePace(t *testing.T) {
	const (
		runs  = 100
		pace  = 200
		taken = 3 * time.Second
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
		now += taken
		_, err := learning.Handle(t.Context(), &peerpb.Request{Body: &peerpb.Request_EndRun{EndRun: encodeEnded(RunResult{
			Service: "s", ID: "run", Duration: taken, Output: int(pace * taken.Seconds()),
			FirstEvent: taken / 10, RestTokens: int(pace * taken.Seconds() * 9 / 10),
		})}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(learning.state("s").decode.DecodeRate()).To(BeNumerically("~", pace, pace/10))
}
