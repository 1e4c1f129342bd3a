package ledger_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/ledger"
)

const memory = 90_000

func newLedger(engines int) *ledger.Ledger {
	book := ledger.New(ledger.Options{UsableShare: 1, DecodeRate: 1000})
	var listed []ledger.Engine
	for i := range engines {
		listed = append(listed, ledger.Engine{ID: fmt.Sprintf("e%d", i), Memory: memory, Slots: 64})
	}
	book.SetEngines(listed)
	return book
}

// trueRun is a run as the oracle follows it: it makes what it was expected to.
type trueRun struct {
	engine  string
	prompt  int
	output  int
	started time.Duration
}

const start = 150 * time.Millisecond

func (r trueRun) sizeAt(now time.Duration) float64 {
	made := max(0, (now-r.started-start).Seconds()*1000)
	if made > float64(r.output) {
		return 0
	}
	return float64(r.prompt) + made
}

func (r trueRun) ends() time.Duration {
	return r.started + start + time.Duration(float64(r.output)/1000*float64(time.Second))
}

// TestMemorySufficesAtEveryMoment lets runs end as expected, and wants no engine
// to need more than it has at any moment.
func TestMemorySufficesAtEveryMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := newLedger(rapid.IntRange(1, 4).Draw(t, "engines"))
		runs := map[string]trueRun{}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			for id, run := range runs {
				if run.ends() <= now {
					book.End(id, ledger.AnswerTiming{})
					delete(runs, id)
				}
			}
			id := strconv.Itoa(i)
			run := trueRun{
				prompt: rapid.IntRange(100, 11_000).Draw(t, "prompt"), output: rapid.IntRange(1, 10_000).Draw(t, "output"), started: now,
			}
			engine, ok := book.Assign(now, ledger.Run{ID: id, Prompt: run.prompt, Output: run.output}, nil)
			if ok {
				run.engine = engine
				runs[id] = run
			}
			checkFuture(t, runs, now)
		}
	})
}

func checkFuture(t *rapid.T, runs map[string]trueRun, now time.Duration) {
	for at := now; at < now+12*time.Second; at += 100 * time.Millisecond {
		used := map[string]float64{}
		for _, run := range runs {
			used[run.engine] += run.sizeAt(at)
		}
		for engine, tokens := range used {
			if tokens > memory+1 {
				t.Fatalf("engine %s needs %.0f of %d at %s", engine, tokens, memory, at)
			}
		}
	}
}

func TestRunsGoToTheEmptiestEngine(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(3)
	seen := map[string]bool{}
	for i := range 3 {
		engine, ok := book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
		g.Expect(ok).To(BeTrue())
		seen[engine] = true
	}
	g.Expect(seen).To(HaveLen(3))
}

func TestRefusedAndAvoidedEnginesGetNothing(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(2)
	engine, _ := book.Assign(0, ledger.Run{ID: "a", Prompt: 1, Output: 1}, nil)
	book.Refused(0, "a", time.Second)
	other, ok := book.Assign(0, ledger.Run{ID: "b", Prompt: 1, Output: 1}, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(other).NotTo(Equal(engine))
	_, ok = book.Assign(0, ledger.Run{ID: "c", Prompt: 1, Output: 1}, map[string]bool{other: true})
	g.Expect(ok).To(BeFalse())
	_, ok = book.Assign(2*time.Second, ledger.Run{ID: "c", Prompt: 1, Output: 1}, map[string]bool{other: true})
	g.Expect(ok).To(BeTrue())
}

func TestRoomIsExpectedWhenRunsEnd(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(1)
	for i := range 8 {
		_, ok := book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 9000, Output: 2000 + 100*i}, nil)
		g.Expect(ok).To(BeTrue())
	}
	run := ledger.Run{ID: "next", Prompt: 9000, Output: 2000}
	_, ok := book.Assign(0, run, nil)
	g.Expect(ok).To(BeFalse())
	after := book.TimeUntilCapacity(0, run)
	g.Expect(after).To(And(BeNumerically(">", time.Second), BeNumerically("<", 4*time.Second)))
}

// TestForeignRunsTakeRoom reports memory that the book does not know of.
func TestForeignRunsTakeRoom(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(2)
	book.ReportMemoryUse(0, "e0", 80_000)
	for i := range 5 {
		engine, ok := book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 10_000, Output: 1000}, nil)
		g.Expect(ok).To(BeTrue())
		g.Expect(engine).To(Equal("e1"))
	}
	// What the book knows explains itself, and old reports count for nothing.
	book.ReportMemoryUse(time.Second, "e1", 55_000)
	_, ok := book.Assign(time.Second, ledger.Run{ID: "more", Prompt: 10_000, Output: 1000}, map[string]bool{"e0": true})
	g.Expect(ok).To(BeTrue())
	engine, ok := book.Assign(10*time.Second, ledger.Run{ID: "later", Prompt: 10_000, Output: 1000}, map[string]bool{"e1": true})
	g.Expect(ok).To(BeTrue())
	g.Expect(engine).To(Equal("e0"))
}

// TestRunsOfSilentHoldersLeaveTheBook never tells of their ends.
func TestRunsOfSilentHoldersLeaveTheBook(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(1)
	for i := range 8 {
		book.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 10_000, Output: 1000, Holder: "dead"}, nil)
	}
	g.Expect(book.Len()).To(Equal(8))
	book.Assign(time.Minute, ledger.Run{ID: "next", Prompt: 10_000, Output: 1000, Holder: "alive"}, nil)
	g.Expect(book.Len()).To(Equal(1))
}

// TestSyncHealsTheBook loses the ends of runs, and the runs themselves.
func TestSyncHealsTheBook(t *testing.T) {
	g := NewWithT(t)
	book := newLedger(1)
	book.Assign(0, ledger.Run{ID: "ended", Prompt: 1, Output: 1000, Holder: "a"}, nil)
	book.Assign(0, ledger.Run{ID: "other", Prompt: 1, Output: 1000, Holder: "b"}, nil)
	book.Assign(900*time.Millisecond, ledger.Run{ID: "young", Prompt: 1, Output: 1000, Holder: "a"}, nil)
	book.Sync(time.Second, "a", []ledger.Run{{ID: "unknown", Prompt: 1, Output: 1000, Engine: "e0"}})
	g.Expect(book.Len()).To(Equal(3), "other, young and unknown")
	book.Sync(2*time.Second, "a", nil)
	g.Expect(book.Len()).To(Equal(1))
}
