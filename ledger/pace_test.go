package ledger_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/ledger"
)

// TestThePaceIsKnownAfterTwentyAnswers draws engines of any pace, and wants the ledger to know
// it within a tenth after 20 answers.
func TestThePaceIsKnownAfterTwentyAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := newLedger(1)
		pace := rapid.Float64Range(20, 5000).Draw(t, "tokens a second")
		first := time.Duration(rapid.IntRange(20, 900).Draw(t, "milliseconds to the first event")) * time.Millisecond
		for i := range 20 {
			id := strconv.Itoa(i)
			if _, given := book.Assign(0, ledger.Run{ID: id, Prompt: 100, Output: 100}, nil); !given {
				t.Fatal("not given")
			}
			rest := rapid.IntRange(50, 2000).Draw(t, "tokens")
			lasting := time.Duration(float64(rest) / pace * float64(time.Second))
			book.End(id, ledger.AnswerTiming{FirstEvent: first, Duration: first + lasting, RestTokens: rest})
		}
		NewWithT(t).Expect(book.DecodeRate()).To(BeNumerically("~", pace, pace/10))
	})
}

// TestAnAnswerThatCameAtOnceDoesNotSpoilThePace has some answers held up on the way, so that
// all their events came within a moment.
func TestAnAnswerThatCameAtOnceDoesNotSpoilThePace(t *testing.T) {
	g := NewWithT(t)
	const pace = 1000
	book := newLedger(1)
	for i := range 40 {
		id := strconv.Itoa(i)
		book.Assign(0, ledger.Run{ID: id, Prompt: 100, Output: 100}, nil)
		answer := ledger.AnswerTiming{FirstEvent: 100 * time.Millisecond, Duration: 2100 * time.Millisecond, RestTokens: 2 * pace}
		if i%8 == 3 {
			answer.Duration = answer.FirstEvent + time.Duration(i)*time.Millisecond
		}
		book.End(id, answer)
		g.Expect(book.DecodeRate()).To(BeNumerically("~", pace, pace/2), "after %d answers", i+1)
	}
}
