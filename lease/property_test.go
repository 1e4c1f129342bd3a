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

// order is one order in flight.
type order struct {
	holder int
	fence  uint64
	ends   time.Time
}

// simulation has several candidates of one lease and a manual clock.
type simulation struct {
	now       time.Time
	effect    platformsim.Effect
	leases    []*Lease
	fences    []uint64
	orders    []order
	newest    uint64
	violation string
}

func newSimulation(candidates int, margin time.Duration) *simulation {
	w := &simulation{now: time.Unix(1000, 0), fences: make([]uint64, candidates)}
	flaky := platformsim.NewFaultyStore(platformsim.NewStore(platformsim.Options{}), func(bool) platformsim.Effect {
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

func (w *simulation) acquire(i int) {
	fence, err := w.leases[i].Acquire(context.Background())
	if err != nil {
		return
	}
	if fence < w.newest {
		w.violation = fmt.Sprintf("fence %d was granted after %d", fence, w.newest)
	}
	w.newest = max(w.newest, fence)
	w.fences[i] = fence
}

// send sends an order to an engine that does not check fences.
func (w *simulation) send(i int) {
	if !w.leases[i].TakeoverWaitOver(longestOrder) || w.leases[i].Check(longestOrder) != nil {
		return
	}
	for _, other := range w.orders {
		if other.holder != i && w.now.Before(other.ends) {
			w.violation = fmt.Sprintf("orders of %d and %d are under way at once", other.holder, i)
		}
		if other.fence > w.fences[i] {
			w.violation = fmt.Sprintf("an order with fence %d follows one with fence %d", w.fences[i], other.fence)
		}
	}
	w.orders = append(w.orders, order{i, w.fences[i], w.now.Add(longestOrder)})
}

// isIdle reports whether no order of a holder is in flight.
func (w *simulation) isIdle(i int) bool {
	for _, sent := range w.orders {
		if sent.holder == i && w.now.Before(sent.ends) {
			return false
		}
	}
	return true
}

// release gives the lease up if no order of the holder is in flight.
func (w *simulation) release(i int) {
	if w.isIdle(i) {
		_ = w.leases[i].Release(context.Background()) // An outage is one of the cases.
	}
}

// markIdle marks the lease idle if no order of the holder is in flight.
func (w *simulation) markIdle(i int) {
	if w.isIdle(i) {
		_ = w.leases[i].MarkIdle(context.Background()) // An outage is one of the cases.
	}
}

// oneHolder lets candidates act in any order, with pauses, refused calls and lost replies. A paused candidate
// is one that is not picked for a while.
func oneHolder(t *rapid.T) {
	w := newSimulation(3, time.Second)
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
			w.markIdle(i)
		case 7:
			w.effect = rapid.SampledFrom([]platformsim.Effect{platformsim.Refuse, platformsim.DropReply}).Draw(t, "effect")
		default:
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "advance")) * time.Millisecond)
		}
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	}
}

func TestOneHolderActsAtATime(t *testing.T) { rapid.Check(t, oneHolder) }

func FuzzOneHolderActsAtATime(f *testing.F) { f.Fuzz(rapid.MakeFuzz(oneHolder)) }

// TestIdleLeaseIsAcquiredImmediately checks that candidates wait only for a holder that may have an order in
// flight.
func TestIdleLeaseIsAcquiredImmediately(t *testing.T) {
	w := newSimulation(3, time.Second)
	w.acquire(0)
	w.markIdle(0)
	w.acquire(1)
	if w.fences[1] != 2 || !w.leases[1].TakeoverWaitOver(longestOrder) {
		t.Fatalf("fence %d", w.fences[1])
	}
	if w.leases[0].Check(0) == nil {
		t.Fatal("an idle holder may act")
	}
	w.acquire(2)
	if w.fences[2] != 0 {
		t.Fatal("a busy lease was taken")
	}
}

// TestOracleDetectsLateOrder checks that the oracle catches a holder that ignores its remaining time.
func TestOracleDetectsLateOrder(t *testing.T) {
	w := newSimulation(2, -time.Hour) // The negative margin disables Check.
	w.acquire(0)
	w.leases[1].options.Margin = time.Second
	w.acquire(1) // Reads the record for the first time.
	w.now = w.now.Add(testDuration + time.Second)
	w.acquire(1)
	w.now = w.now.Add(longestOrder)
	w.send(1)
	w.send(0)
	if w.violation == "" {
		t.Fatal("the oracle did not notice")
	}
}
