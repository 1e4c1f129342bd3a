package backend_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

func (c *manualClock) advance(duration time.Duration) { c.now = c.now.Add(duration) }

func newManualClock() *manualClock { return &manualClock{now: time.Unix(1000, 0)} }

func incarnation(startedAt int64, state backend.State) backend.Backend {
	names := map[int64]string{0: "a", 1: "a@1", 2: "a@2"}
	return backend.Backend{ID: names[startedAt], RegisteredAs: "a", StartedAt: startedAt, Service: "first", State: state}
}

// TestLeavingNoticeOverridesDiscovery checks that a backend that has announced that it leaves gets no work, even
// if discovery changes it, describes it as ready again, or adds it again.
func TestLeavingNoticeOverridesDiscovery(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(incarnation(1, backend.StateReady))
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Leaving: true})).To(Equal(backend.Notice{Leaving: true}))
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Leaving: true}).IsEmpty()).To(BeTrue(), "it is known already")
	clock.advance(time.Second)
	expectLeaving := func() {
		g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
		g.Expect(registry.CountReady(backend.RoleNone)).To(BeZero())
		g.Expect(registry.Withheld("first")).To(ConsistOf("a@1"))
		g.Expect(registry.Lookup("a@1").TakesWork()).To(BeFalse())
	}
	expectLeaving()
	changed := incarnation(1, backend.StateReady)
	changed.Slots = 7
	registry.Update(changed)
	expectLeaving()
	registry.Update(incarnation(1, backend.StateDraining))
	registry.Update(incarnation(1, backend.StateReady))
	expectLeaving()
	g.Expect(registry.Lookup("a@1").LeavingFor()).To(Equal(time.Second), "since its notice")
	registry.RemoveRegistered("a")
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	clock.advance(20 * time.Second)
	registry.Update(incarnation(1, backend.StateReady))
	expectLeaving()
}

// TestNoticeWithoutEntryIsRecorded checks that notices sent while the entry is expired apply to the next entry.
func TestNoticeWithoutEntryIsRecorded(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(incarnation(1, backend.StateReady))
	registry.RemoveRegistered("a")
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Leaving: true}).Leaving).To(BeTrue())
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Backoff: time.Hour}).Backoff).To(Equal(time.Hour), "and a second notice")
	clock.advance(time.Second)
	registry.Update(incarnation(1, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
	g.Expect(registry.Lookup("a@1").BackoffRemaining()).To(Equal(time.Hour - time.Second))
}

// TestNextIncarnationIsUsed checks that a backend that announced that it leaves gets work after its restart.
func TestNextIncarnationIsUsed(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	registry := backend.NewRegistry(clock.read)
	// The notice is received after this incarnation started and before the next one.
	registry.SetWallClock(func() time.Time { return time.UnixMilli(1) })
	registry.Update(incarnation(1, backend.StateReady))
	registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Leaving: true, Backoff: time.Hour})
	registry.Update(incarnation(2, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	g.Expect(registry.Lookup("a@2").BackoffRemaining()).To(BeZero())
}

// TestNoticeOfUndiscoveredIncarnation has a backend restart and send a notice before discovery describes the
// new incarnation: the response is attributed to the previous one, with and without an entry of it.
func TestNoticeOfUndiscoveredIncarnation(t *testing.T) {
	for _, expired := range []bool{false, true} {
		g := NewWithT(t)
		clock := newManualClock()
		registry := backend.NewRegistry(clock.read)
		registry.SetWallClock(clock.read)
		incarnationAt := func(at time.Time) backend.Backend {
			return backend.Backend{ID: "a@" + at.String(), RegisteredAs: "a", StartedAt: at.UnixMilli(), Service: "first", State: backend.StateReady}
		}
		before := incarnationAt(clock.read())
		registry.Update(before)
		clock.advance(time.Minute)
		next := incarnationAt(clock.read())
		clock.advance(time.Second)
		registry.RecordNotice(before, backend.Notice{Backoff: 5 * time.Second})
		if expired {
			registry.RemoveRegistered("a")
		}
		clock.advance(time.Second)
		registry.Update(next)
		g.Expect(registry.Lookup(next.ID).BackoffRemaining()).To(Equal(4 * time.Second))
		clock.advance(time.Minute)
		later := incarnationAt(clock.read())
		clock.advance(time.Second)
		registry.RecordNotice(next, backend.Notice{Leaving: true})
		if expired {
			registry.RemoveRegistered("a")
		}
		registry.Update(later)
		g.Expect(registry.Lookup(later.ID).BackoffRemaining()).To(Equal(10*time.Second), "it is the one that leaves, if clocks agree")
		clock.advance(10 * time.Second)
		g.Expect(registry.Lookup(later.ID).BackoffRemaining()).To(BeZero())
		g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1), "its next response shows whether it leaves")
	}
}

// TestIncarnationWithoutStartTimeIsUsedAfterAMinute has a backend restart whose incarnations cannot be
// distinguished.
func TestIncarnationWithoutStartTimeIsUsedAfterAMinute(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(incarnation(0, backend.StateReady))
	registry.RecordNotice(incarnation(0, backend.StateReady), backend.Notice{Leaving: true})
	registry.RemoveRegistered("a")
	clock.advance(59 * time.Second)
	registry.Update(incarnation(0, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
	registry.RemoveRegistered("a")
	clock.advance(61 * time.Second)
	registry.Update(incarnation(0, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
}

// TestLeavingIncarnationGetsNoWork applies random sequences of entries, removals and notices, and compares the
// registry with a plain record of the incarnations that have announced that they leave.
func TestLeavingIncarnationGetsNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newManualClock()
		registry := backend.NewRegistry(clock.read)
		announced := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock.advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			next := incarnation(rapid.Int64Range(1, 2).Draw(t, "born"), rapid.SampledFrom([]backend.State{backend.StateReady, backend.StateDraining}).Draw(t, "state"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				registry.Update(next)
			case 1:
				registry.Remove(next.ID)
			default:
				registry.RecordNotice(next, backend.Notice{Leaving: true})
				announced[next.ID] = true
			}
			for _, entry := range registry.Ready("first", backend.RoleNone) {
				if announced[entry.Backend().ID] {
					t.Fatalf("%s is given work", entry.Backend().ID)
				}
			}
		}
	})
}

// TestBackoffLastsToItsEnd checks that neither a shorter backoff requested later nor an expired entry ends a
// backoff early.
func TestBackoffLastsToItsEnd(t *testing.T) {
	g := NewWithT(t)
	clock := newManualClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(incarnation(1, backend.StateReady))
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Backoff: 3 * time.Second}).Backoff).To(Equal(3 * time.Second))
	clock.advance(time.Second)
	g.Expect(registry.RecordNotice(incarnation(1, backend.StateReady), backend.Notice{Backoff: time.Second}).IsEmpty()).To(BeTrue(), "it is in backoff already")
	g.Expect(registry.Lookup("a@1").BackoffRemaining()).To(Equal(2 * time.Second))
	g.Expect(registry.Lookup("a@1").BackingOffFor()).To(Equal(time.Second))
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(Equal(2 * time.Second))
	g.Expect(registry.ServiceBackoff("second", backend.RoleNone)).To(BeZero())
	g.Expect(registry.Withheld("first")).To(ConsistOf("a@1"))
	registry.RemoveRegistered("a")
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(BeZero(), "there is none")
	registry.Update(incarnation(1, backend.StateReady))
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(Equal(2 * time.Second))
	clock.advance(2 * time.Second)
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(BeZero())
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	g.Expect(registry.Lookup("a@1").BackingOffFor()).To(BeZero())
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
}
