package ledger_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

// BenchmarkAssign fills 24 engines with ten runs each and asks for one more.
func BenchmarkAssign(b *testing.B) {
	book := newLedger(24)
	for i := range 240 {
		book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
	}
	b.ResetTimer()
	for range b.N {
		book.Assign(time.Millisecond, ledger.Run{ID: "next", Prompt: 50_000, Output: 9000}, nil)
	}
}

// BenchmarkCapacityAfter asks when a run that does not fit will.
func BenchmarkCapacityAfter(b *testing.B) {
	book := newLedger(24)
	for i := range 240 {
		book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
	}
	for range b.N {
		book.TimeUntilCapacity(time.Millisecond, ledger.Run{ID: "next", Prompt: 50_000, Output: 9000})
	}
}
