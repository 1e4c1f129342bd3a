package ledger_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/ledger"
)

// TestDecodeRateIsLearnedFromTwentyOutputs draws engines of any decode rate, and expects the
// learned rate to be within a tenth of it after 20 outputs.
func TestDecodeRateIsLearnedFromTwentyOutputs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(1)
		rate := rapid.Float64Range(20, 5000).Draw(t, "tokens a second")
		first := time.Duration(rapid.IntRange(20, 900).Draw(t, "milliseconds to the first event")) * time.Millisecond
		for i := range 20 {
			id := strconv.Itoa(i)
			if _, assigned := l.Assign(0, ledger.Run{ID: id, Prompt: 100, Output: 100}, nil); !assigned {
				t.Fatal("not assigned")
			}
			rest := rapid.IntRange(50, 2000).Draw(t, "tokens")
			duration := time.Duration(float64(rest) / rate * float64(time.Second))
			l.End(id, ledger.OutputTiming{FirstEvent: first, Duration: first + duration, RestTokens: rest})
		}
		NewWithT(t).Expect(l.DecodeRate()).To(BeNumerically("~", rate, rate/10))
	})
}

// TestBufferedOutputsDoNotDistortDecodeRate has some outputs buffered on the way, so that all their
// events arrive at almost the same time. The learned rate must stay near the actual one.
func TestBufferedOutputsDoNotDistortDecodeRate(t *testing.T) {
	g := NewWithT(t)
	const rate = 1000
	l := newLedger(1)
	for i := range 40 {
		id := strconv.Itoa(i)
		l.Assign(0, ledger.Run{ID: id, Prompt: 100, Output: 100}, nil)
		output := ledger.OutputTiming{FirstEvent: 100 * time.Millisecond, Duration: 2100 * time.Millisecond, RestTokens: 2 * rate}
		if i%8 == 3 {
			output.Duration = output.FirstEvent + time.Duration(i)*time.Millisecond
		}
		l.End(id, output)
		g.Expect(l.DecodeRate()).To(BeNumerically("~", rate, rate/2), "after %d outputs", i+1)
	}
}
