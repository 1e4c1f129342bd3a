package coordinator

import (
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/ledger"
)

// newFull returns a coordinator with one decode engine that fits one request, and counts how often
// the engines are listed.
func newFull(listings *int) *Coordinator {
	began := time.Now()
	full := New(Options{
		Engines: func(string) Engines {
			*listings++
			return Engines{Decode: []ledger.Engine{{ID: "d", Memory: 10_000, Slots: 8}}, Prefill: []string{"p"}}
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Duration { return time.Since(began) },
	})
	return full
}

func requestOf(id string, wait time.Duration) *Request {
	return &Request{
		Service: "s", Wait: wait, Objective: time.Second,
		Run: ledger.Run{ID: id, Prompt: 8000, Output: 500, MaxOutput: 1000, Holder: "node"},
	}
}

// TestWaitingCostGrowsLinearly lets many requests wait for capacity at once. The number of times
// that the engines are listed may grow with the number of requests, but not with its square: a
// coordinator that is busy listing engines misses the calls of all nodes.
func TestWaitingCostGrowsLinearly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			waiting = 200
			wait    = 600 * time.Millisecond
		)
		g := NewWithT(t)
		listings := 0
		full := newFull(&listings)
		g.Expect(full.Assign(t.Context(), requestOf("first", 0)).Decode).To(Equal("d"))
		var waiters sync.WaitGroup
		for i := range waiting {
			waiters.Go(func() {
				if got := full.Assign(t.Context(), requestOf(strconv.Itoa(i), wait)); got.Decode != "" {
					t.Errorf("request %d was assigned to %s", i, got.Decode)
				}
			})
		}
		waiters.Wait()
		g.Expect(listings).To(BeNumerically("<", 2*waiting))
	})
}

// TestCapacityGoesToEarliestWaiter expects the earliest waiting request to be assigned as soon as a
// run ends, also while others arrive.
func TestCapacityGoesToEarliestWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listings := 0
		full := newFull(&listings)
		full.Assign(t.Context(), requestOf("first", 0))
		assigned := make(chan string, 3)
		for _, id := range []string{"early", "middle", "late"} {
			go func() {
				if full.Assign(t.Context(), requestOf(id, time.Second)).Decode != "" {
					assigned <- id
				}
			}()
			time.Sleep(15 * time.Millisecond)
		}
		full.End(RunResult{Service: "s", ID: "first"})
		synctest.Wait()
		g.Expect(assigned).To(Receive(Equal("early")))
		full.End(RunResult{Service: "s", ID: "early"})
		synctest.Wait()
		g.Expect(assigned).To(Receive(Equal("middle")))
		time.Sleep(2 * time.Second)
	})
}

// TestFirstAttemptsGoFirst has a retry wait for longer than a first attempt. Capacity goes to the
// first attempt, which can still meet its objective, and then to the retry.
func TestFirstAttemptsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listings := 0
		full := newFull(&listings)
		full.Assign(t.Context(), requestOf("first", 0))
		assigned := make(chan string, 2)
		for _, id := range []string{"refused before", "new"} {
			request := requestOf(id, 3*time.Second)
			request.Late = id == "refused before"
			go func() {
				if full.Assign(t.Context(), request).Decode != "" {
					assigned <- id
				}
			}()
			time.Sleep(15 * time.Millisecond)
		}
		full.End(RunResult{Service: "s", ID: "first"})
		synctest.Wait()
		g.Expect(assigned).To(Receive(Equal("new")))
		g.Expect(assigned).NotTo(Receive())
		time.Sleep(1500 * time.Millisecond)
		full.End(RunResult{Service: "s", ID: "new"})
		synctest.Wait()
		g.Expect(assigned).To(Receive(Equal("refused before")))
	})
}

// TestFirstAttemptWaitsUntilObjectiveIsUnreachable lets a request wait for capacity that does not
// come. It is rejected once its prefill would end too late for the objective, and not before.
func TestFirstAttemptWaitsUntilObjectiveIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listings := 0
		full := newFull(&listings)
		full.Assign(t.Context(), requestOf("first", 0))
		began := time.Now()
		rejected := full.Assign(t.Context(), requestOf("waits", time.Second))
		g.Expect(rejected.Decode).To(BeEmpty())
		g.Expect(rejected.RetryAfter).To(BeNumerically(">", 0))
		// The objective of one second, less the prefill of 8,000 tokens at 50,000 a second and the
		// time from there to the first token.
		g.Expect(time.Since(began)).To(Equal(time.Second - 160*time.Millisecond - defaultFirstToken))
	})
}

// TestMoreUrgentRoutesGoFirst has a request of a less urgent route wait for longer than one of a
// more urgent route. Capacity goes to the latter.
func TestMoreUrgentRoutesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		listings := 0
		full := newFull(&listings)
		full.Assign(t.Context(), requestOf("first", 0))
		assigned := make(chan string, 2)
		for priority, id := range map[int]string{2: "can wait", 1: "urgent"} {
			request := requestOf(id, time.Second)
			request.Priority = priority
			go func() {
				time.Sleep(time.Duration(3-priority) * 10 * time.Millisecond)
				if full.Assign(t.Context(), request).Decode != "" {
					assigned <- id
				}
			}()
		}
		time.Sleep(50 * time.Millisecond)
		full.End(RunResult{Service: "s", ID: "first"})
		synctest.Wait()
		g.Expect(assigned).To(Receive(Equal("urgent")))
		g.Expect(assigned).NotTo(Receive())
	})
}
