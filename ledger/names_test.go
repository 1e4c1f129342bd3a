package ledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// TestARunNamedTwiceLeavesNothing gives two engines a run of the same name. Once it
// has ended, both must be as empty as before.
func TestARunNamedTwiceLeavesNothing(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(2)
	large := ledger.Run{ID: "same", Prompt: 80_000, Output: 1000}
	for range 2 {
		_, fits := book.Assign(0, large, nil)
		g.Expect(fits).To(BeTrue())
	}
	book.End("same", ledger.AnswerTiming{})
	g.Expect(book.Len()).To(BeZero())
	for _, id := range []string{"first", "second"} {
		_, fits := book.Assign(time.Second, ledger.Run{ID: id, Prompt: 80_000, Output: 1000}, nil)
		g.Expect(fits).To(BeTrue(), "the engines are empty")
	}
}
