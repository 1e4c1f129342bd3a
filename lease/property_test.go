package lease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/sim/platformsim"
)

const (
	testDuration = 10 * time.Second
	longestOrder = 3 * time.Second
)

// order is one order under way.
type order struct {
	holder int
	fence  uint64
	ends   time.Time
}

// world is several candidates of one lease with a clock of their own making.
type world struct {
	now    time.Time
	effect platformsim.Effect
	leases []*Lease
	fences []uint64
	orders []order
	newest uint64
	broken string
}

func newWorld(candidates int, margin time.Duration) *world {
	w := &world{now: time.Unix(1000, 0), fences: make([]uint64, candidates)}
	flaky := platformsim.NewFlaky(platformsim.NewStore(platformsim.Options{}), func(bool) platformsim.Effect {
		effect := w.effect
		w.effect = platformsim.Pass
		return effect
	})
	for i := range candidates {
		w.leases = append(w.leases, New(Options{
			Store: flaky, Name: "lease", Holder: fmt.Sprintf("node-%d", i), Duration: testDuration, Margin: margin,
			Now: func() time.Time { return w.now },
		}))
	}
	return w
}

func (w *world) acquire(i int) {
	fence, err := w.leases[i].Acquire(context.Background())
	if err != nil {
		return
	}
	if fence < w.newest {
		w.broken = fmt.Sprintf("fence %d was granted after %d", fence, w.newest)
	}
	w.newest = max(w.newest, fence)
	w.fences[i] = fence
}

// send sends an order to an engine that does not check fences.
func (w *world) send(i int) {
	if !w.leases[i].TakeoverWaitOver(longestOrder) || w.leases[i].Check(longestOrder) != nil {
		return
	}
	for _, other := range w.orders {
		if other.holder != i && w.now.Before(other.ends) {
			w.broken = fmt.Sprintf("orders of %d and %d are under way at once", other.holder, i)
		}
		if other.fence > w.fences[i] {
			w.broken = fmt.Sprintf("an order with fence %d follows one with fence %d", w.fences[i], other.fence)
		}
	}
	w.orders = append(w.orders, order{i, w.fences[i], w.now.Add(longestOrder)})
}

// mayLeave reports whether no order of a holder is under way.
func (w *world) mayLeave(i int) bool {
	for _, sent := range w.orders {
		if sent.holder == i && w.now.Before(sent.ends) {
			return false
		}
	}
	return true
}

// release gives the lease up if no order of the holder is under way.
func (w *world) release(i int) {
	if w.mayLeave(i) {
		_ = w.leases[i].Release(context.Background()) // An outage is one of the cases.
	}
}

// rest lets others take the lease if no order of the holder is under way.
func (w *world) rest(i int) {
	if w.mayLeave(i) {
		_ = w.leases[i].MarkIdle(context.Background()) // An outage is one of the cases.
	}
}

// oneHolder lets candidates act in any order, with pauses, refused calls and lost
// replies. A paused candidate is one that is not picked for a while.
func oneHolder(t *rapid.T) {
	w := newWorld(3, time.Second)
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "candidate")
		switch rapid.IntRange(0, 8).Draw(t, "action") {
		case 0, 1:
			w.acquire(i)
		case 2, 3:
			w.send(i)
		case 4:
			w.release(i)
		case 5, 6:
			w.rest(i)
		case 7:
			w.effect = rapid.SampledFrom([]platformsim.Effect{platformsim.Refuse, platformsim.LoseReply}).Draw(t, "effect")
		default:
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "advance")) * time.Millisecond)
		}
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	}
}

func TestOneHolderActsAtATime(t *testing.T) { rapid.Check(t, oneHolder) }

func FuzzOneHolderActsAtATime(f *testing.F) { f.Fuzz(rapid.MakeFuzz(oneHolder)) }

// TestAnIdleLeaseIsTakenAtOnce: only a holder that may have something under way is
// waited for.
func TestAnIdleLeaseIsTakenAtOnce(t *testing.T) {
	w := newWorld(3, time.Second)
	w.acquire(0)
	w.rest(0)
	w.acquire(1)
	if w.fences[1] != 2 || !w.leases[1].TakeoverWaitOver(longestOrder) {
		t.Fatalf("fence %d", w.fences[1])
	}
	if w.leases[0].Check(0) == nil {
		t.Fatal("a resting holder may act")
	}
	w.acquire(2)
	if w.fences[2] != 0 {
		t.Fatal("a busy lease was taken")
	}
}

// TestOracleNoticesLateOrder shows that the oracle catches a holder which does
// not look at its remaining time.
func TestOracleNoticesLateOrder(t *testing.T) {
	w := newWorld(2, -time.Hour) // The margin makes Check useless.
	w.acquire(0)
	w.leases[1].options.Margin = time.Second
	w.acquire(1) // Sees the record for the first time.
	w.now = w.now.Add(testDuration + time.Second)
	w.acquire(1)
	w.now = w.now.Add(longestOrder)
	w.send(1)
	w.send(0)
	if w.broken == "" {
		t.Fatal("the oracle did not notice")
	}
}
