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
	token  uint64
	ends   time.Time
}

// simulation has several candidates of one lease and a manual clock.
type simulation struct {
	now    time.Time
	effect platformsim.Effect
	leases []*Lease
	// tokens holds the last fencing token of each candidate.
	tokens []uint64
	// orders are all orders sent so far.
	orders []order
	// newestToken is the highest fencing token granted so far.
	newestToken uint64
	violation   string
}

func newSimulation(candidates int, margin time.Duration) *simulation {
	s := &simulation{now: time.Unix(1000, 0), tokens: make([]uint64, candidates)}
	faulty := platformsim.NewFaultyStore(platformsim.NewStore(platformsim.Options{}), func(bool) platformsim.Effect {
		effect := s.effect
		s.effect = platformsim.Pass
		return effect
	})
	for i := range candidates {
		s.leases = append(s.leases, New(Options{
			Store: faulty, Name: "lease", Holder: fmt.Sprintf("node-%d", i), Duration: testDuration, Margin: margin,
			Now: func() time.Time { return s.now },
		}))
	}
	return s
}

func (s *simulation) acquire(i int) {
	token, err := s.leases[i].Acquire(context.Background())
	if err != nil {
		return
	}
	if token < s.newestToken {
		s.violation = fmt.Sprintf("fencing token %d was granted after %d", token, s.newestToken)
	}
	s.newestToken = max(s.newestToken, token)
	s.tokens[i] = token
}

// send sends an order to an engine that does not check fencing tokens.
func (s *simulation) send(i int) {
	if !s.leases[i].TakeoverWaitOver(longestOrder) || s.leases[i].Check(longestOrder) != nil {
		return
	}
	for _, other := range s.orders {
		if other.holder != i && s.now.Before(other.ends) {
			s.violation = fmt.Sprintf("orders of %d and %d are in flight at the same time", other.holder, i)
		}
		if other.token > s.tokens[i] {
			s.violation = fmt.Sprintf("an order with fencing token %d follows one with %d", s.tokens[i], other.token)
		}
	}
	s.orders = append(s.orders, order{i, s.tokens[i], s.now.Add(longestOrder)})
}

// isIdle reports whether no order of a holder is in flight.
func (s *simulation) isIdle(i int) bool {
	for _, sent := range s.orders {
		if sent.holder == i && s.now.Before(sent.ends) {
			return false
		}
	}
	return true
}

// release gives the lease up if no order of the holder is in flight.
func (s *simulation) release(i int) {
	if s.isIdle(i) {
		_ = s.leases[i].Release(context.Background()) // An outage is one of the cases.
	}
}

// markIdle marks the lease idle if no order of the holder is in flight.
func (s *simulation) markIdle(i int) {
	if s.isIdle(i) {
		_ = s.leases[i].MarkIdle(context.Background()) // An outage is one of the cases.
	}
}

// oneHolder lets candidates act in any order, with pauses, failed calls and lost responses. A paused candidate is
// one that is not drawn for a while. No order may be sent while an order of another holder is in flight, or after
// one with a higher fencing token.
func oneHolder(t *rapid.T) {
	s := newSimulation(3, time.Second)
	for range rapid.IntRange(5, 80).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "candidate")
		switch rapid.IntRange(0, 8).Draw(t, "action") {
		case 0, 1:
			s.acquire(i)
		case 2, 3:
			s.send(i)
		case 4:
			s.release(i)
		case 5, 6:
			s.markIdle(i)
		case 7:
			s.effect = rapid.SampledFrom([]platformsim.Effect{platformsim.Reject, platformsim.DropResponse}).Draw(t, "effect")
		default:
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "advance")) * time.Millisecond)
		}
		if s.violation != "" {
			t.Fatal(s.violation)
		}
	}
}

func TestOneHolderActsAtATime(t *testing.T) { rapid.Check(t, oneHolder) }

func FuzzOneHolderActsAtATime(f *testing.F) { f.Fuzz(rapid.MakeFuzz(oneHolder)) }

// TestIdleLeaseIsAcquiredImmediately checks that candidates wait only for a holder that may have an order in
// flight.
func TestIdleLeaseIsAcquiredImmediately(t *testing.T) {
	s := newSimulation(3, time.Second)
	s.acquire(0)
	s.markIdle(0)
	s.acquire(1)
	if s.tokens[1] != 2 || !s.leases[1].TakeoverWaitOver(longestOrder) {
		t.Fatalf("fencing token %d, want 2 without a wait", s.tokens[1])
	}
	if s.leases[0].Check(0) == nil {
		t.Fatal("an idle holder may act")
	}
	s.acquire(2)
	if s.tokens[2] != 0 {
		t.Fatal("a busy lease was taken")
	}
}

// TestOracleDetectsLateOrder checks that the oracle catches a holder that ignores its remaining time.
func TestOracleDetectsLateOrder(t *testing.T) {
	s := newSimulation(2, -time.Hour) // The negative margin disables Check.
	s.acquire(0)
	s.leases[1].options.Margin = time.Second
	s.acquire(1) // Reads the record for the first time.
	s.now = s.now.Add(testDuration + time.Second)
	s.acquire(1)
	s.now = s.now.Add(longestOrder)
	s.send(1)
	s.send(0)
	if s.violation == "" {
		t.Fatal("the oracle did not detect the late order")
	}
}
