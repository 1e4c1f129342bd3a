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
	l := ledger.New(ledger.Options{UsableShare: 1, DecodeRate: 1000})
	var listed []ledger.Engine
	for i := range engines {
		listed = append(listed, ledger.Engine{ID: fmt.Sprintf("e%d", i), Memory: memory, Slots: 64})
	}
	l.SetEngines(listed)
	return l
}

// expectedRun is the test's model of a run, which generates exactly the expected output.
type expectedRun struct {
	engine  string
	prompt  int
	output  int
	started time.Duration
}

const start = 150 * time.Millisecond

func (r expectedRun) sizeAt(now time.Duration) float64 {
	generated := max(0, (now-r.started-start).Seconds()*1000)
	if generated > float64(r.output) {
		return 0
	}
	return float64(r.prompt) + generated
}

func (r expectedRun) ends() time.Duration {
	return r.started + start + time.Duration(float64(r.output)/1000*float64(time.Second))
}

// TestMemorySufficesAtEveryMoment lets runs end as expected, and checks that no engine needs more
// memory than it has at any moment.
func TestMemorySufficesAtEveryMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(rapid.IntRange(1, 4).Draw(t, "engines"))
		runs := map[string]expectedRun{}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 80).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			for id, run := range runs {
				if run.ends() <= now {
					l.End(id, ledger.OutputTiming{})
					delete(runs, id)
				}
			}
			id := strconv.Itoa(i)
			run := expectedRun{
				prompt: rapid.IntRange(100, 11_000).Draw(t, "prompt"), output: rapid.IntRange(1, 10_000).Draw(t, "output"), started: now,
			}
			engine, ok := l.Assign(now, ledger.Run{ID: id, Prompt: run.prompt, Output: run.output}, nil)
			if ok {
				run.engine = engine
				runs[id] = run
			}
			checkFuture(t, runs, now)
		}
	})
}

func checkFuture(t *rapid.T, runs map[string]expectedRun, now time.Duration) {
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
	l := newLedger(3)
	assigned := map[string]bool{}
	for i := range 3 {
		engine, ok := l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 5000, Output: 2000}, nil)
		g.Expect(ok).To(BeTrue())
		assigned[engine] = true
	}
	g.Expect(assigned).To(HaveLen(3))
}

func TestRejectingAndAvoidedEnginesGetNoRuns(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(2)
	engine, _ := l.Assign(0, ledger.Run{ID: "a", Prompt: 1, Output: 1}, nil)
	l.Rejected(0, "a", time.Second)
	other, ok := l.Assign(0, ledger.Run{ID: "b", Prompt: 1, Output: 1}, nil)
	g.Expect(ok).To(BeTrue())
	g.Expect(other).NotTo(Equal(engine))
	_, ok = l.Assign(0, ledger.Run{ID: "c", Prompt: 1, Output: 1}, map[string]bool{other: true})
	g.Expect(ok).To(BeFalse())
	_, ok = l.Assign(2*time.Second, ledger.Run{ID: "c", Prompt: 1, Output: 1}, map[string]bool{other: true})
	g.Expect(ok).To(BeTrue())
}

func TestCapacityIsExpectedWhenRunsEnd(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(1)
	for i := range 8 {
		_, ok := l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 9000, Output: 2000 + 100*i}, nil)
		g.Expect(ok).To(BeTrue())
	}
	run := ledger.Run{ID: "next", Prompt: 9000, Output: 2000}
	_, ok := l.Assign(0, run, nil)
	g.Expect(ok).To(BeFalse())
	after := l.TimeUntilCapacity(0, run)
	g.Expect(after).To(And(BeNumerically(">", time.Second), BeNumerically("<", 4*time.Second)))
}

// TestExternalUseTakesCapacity reports memory use that no run in the ledger explains. The engine
// must get no runs until the report has expired.
func TestExternalUseTakesCapacity(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(2)
	l.ReportMemoryUse(0, "e0", 80_000)
	for i := range 5 {
		engine, ok := l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 10_000, Output: 1000}, nil)
		g.Expect(ok).To(BeTrue())
		g.Expect(engine).To(Equal("e1"))
	}
	// Memory used by tracked runs is not external, and old reports are ignored.
	l.ReportMemoryUse(time.Second, "e1", 55_000)
	_, ok := l.Assign(time.Second, ledger.Run{ID: "more", Prompt: 10_000, Output: 1000}, map[string]bool{"e0": true})
	g.Expect(ok).To(BeTrue())
	engine, ok := l.Assign(10*time.Second, ledger.Run{ID: "later", Prompt: 10_000, Output: 1000}, map[string]bool{"e1": true})
	g.Expect(ok).To(BeTrue())
	g.Expect(engine).To(Equal("e0"))
}

// TestRunsOfUnresponsiveHoldersExpire assigns runs whose holder has no further contact with the
// ledger. They must be removed.
func TestRunsOfUnresponsiveHoldersExpire(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(1)
	for i := range 8 {
		l.Assign(0, ledger.Run{ID: strconv.Itoa(i), Prompt: 10_000, Output: 1000, Holder: "dead"}, nil)
	}
	g.Expect(l.Len()).To(Equal(8))
	l.Assign(time.Minute, ledger.Run{ID: "next", Prompt: 10_000, Output: 1000, Holder: "alive"}, nil)
	g.Expect(l.Len()).To(Equal(1))
}

// TestSyncRepairsTheLedger omits messages about the end of a run and about the assignment of
// another one. The next sync must remove the former and add the latter, but keep a run that is too
// young for the holder to report.
func TestSyncRepairsTheLedger(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(1)
	l.Assign(0, ledger.Run{ID: "ended", Prompt: 1, Output: 1000, Holder: "a"}, nil)
	l.Assign(0, ledger.Run{ID: "other", Prompt: 1, Output: 1000, Holder: "b"}, nil)
	l.Assign(900*time.Millisecond, ledger.Run{ID: "young", Prompt: 1, Output: 1000, Holder: "a"}, nil)
	l.Sync(time.Second, "a", []ledger.Run{{ID: "unknown", Prompt: 1, Output: 1000, Engine: "e0"}})
	g.Expect(l.Len()).To(Equal(3), "other, young and unknown")
	l.Sync(2*time.Second, "a", nil)
	g.Expect(l.Len()).To(Equal(1))
}
