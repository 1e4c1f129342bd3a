package ledger_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

// BenchmarkAssign assigns ten runs to each of 24 engines and then one more.
func BenchmarkAssign(b *testing.B) {
	l := newLedger(24)
	for i := range 240 {
		l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
	}
	b.ResetTimer()
	for range b.N {
		l.Assign(time.Millisecond, ledger.Run{ID: "next", Prompt: 50_000, Output: 9000}, nil)
	}
}

// BenchmarkTimeUntilCapacity measures the prediction for a run that does not fit.
func BenchmarkTimeUntilCapacity(b *testing.B) {
	l := newLedger(24)
	for i := range 240 {
		l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
	}
	for range b.N {
		l.TimeUntilCapacity(time.Millisecond, ledger.Run{ID: "next", Prompt: 50_000, Output: 9000})
	}
}
