package ledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestDuplicateRunIDIsReplaced assigns two runs with the same identifier. The second replaces the
// first, so both engines must be empty once it has ended.
func TestDuplicateRunIDIsReplaced(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(2)
	large := ledger.Run{ID: "same", Prompt: 80_000, Output: 1000}
	for range 2 {
		_, fits := l.Assign(0, large, nil)
		g.Expect(fits).To(BeTrue())
	}
	l.End("same", ledger.OutputTiming{})
	g.Expect(l.Len()).To(BeZero())
	for _, id := range []string{"first", "second"} {
		_, fits := l.Assign(time.Second, ledger.Run{ID: id, Prompt: 80_000, Output: 1000}, nil)
		g.Expect(fits).To(BeTrue(), "the engines are empty")
	}
}
