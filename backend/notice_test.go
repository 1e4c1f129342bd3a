package backend_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
)

// handClock is a clock that a test moves.
type handClock struct{ now time.Time }

func (c *handClock) read() time.Time { return c.now }

func (c *handClock) pass(duration time.Duration) { c.now = c.now.Add(duration) }

func newHandClock() *handClock { return &handClock{now: time.Unix(1000, 0)} }

func lifeOf(born int64, state backend.State) backend.Backend {
	names := map[int64]string{0: "a", 1: "a@1", 2: "a@2"}
	return backend.Backend{ID: names[born], RegisteredAs: "a", StartedAt: born, Service: "first", State: state}
}

// TestAWordOutlivesWhatDiscoveryTells has discovery tell in each way that a back end is ready which has
// said that it leaves.
func TestAWordOutlivesWhatDiscoveryTells(t *testing.T) {
	g := NewWithT(t)
	clock := newHandClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(lifeOf(1, backend.StateReady))
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Leaving: true})).To(Equal(backend.Notice{Leaving: true}))
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Leaving: true}).IsEmpty()).To(BeTrue(), "it is no news any more")
	clock.pass(time.Second)
	expectLeaving := func() {
		g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
		g.Expect(registry.CountReady(backend.RoleNone)).To(BeZero())
		g.Expect(registry.Withheld("first")).To(ConsistOf("a@1"))
		g.Expect(registry.Lookup("a@1").TakesWork()).To(BeFalse())
	}
	expectLeaving()
	changed := lifeOf(1, backend.StateReady)
	changed.Slots = 7
	registry.Update(changed)
	expectLeaving()
	registry.Update(lifeOf(1, backend.StateDraining))
	registry.Update(lifeOf(1, backend.StateReady))
	expectLeaving()
	g.Expect(registry.Lookup("a@1").LeavingFor()).To(Equal(time.Second), "since its word")
	registry.RemoveRegistered("a")
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	clock.pass(20 * time.Second)
	registry.Update(lifeOf(1, backend.StateReady))
	expectLeaving()
}

// TestAWordIsHeardWithoutAnEntry has a back end answer while its entry has lapsed.
func TestAWordIsHeardWithoutAnEntry(t *testing.T) {
	g := NewWithT(t)
	clock := newHandClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(lifeOf(1, backend.StateReady))
	registry.RemoveRegistered("a")
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Leaving: true}).Leaving).To(BeTrue())
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Backoff: time.Hour}).Backoff).To(Equal(time.Hour), "and a word more")
	clock.pass(time.Second)
	registry.Update(lifeOf(1, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
	g.Expect(registry.Lookup("a@1").BackoffRemaining()).To(Equal(time.Hour - time.Second))
}

// TestTheNextLifeIsUsed has a back end start again after it has said that it leaves.
func TestTheNextLifeIsUsed(t *testing.T) {
	g := NewWithT(t)
	clock := newHandClock()
	registry := backend.NewRegistry(clock.read)
	// What it says is heard after this life has begun and before the next one.
	registry.SetWallClock(func() time.Time { return time.UnixMilli(1) })
	registry.Update(lifeOf(1, backend.StateReady))
	registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Leaving: true, Backoff: time.Hour})
	registry.Update(lifeOf(2, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	g.Expect(registry.Lookup("a@2").BackoffRemaining()).To(BeZero())
}

// TestAWordOfALifeThatIsNotKnownYetCountsForIt has a back end start again and say something before discovery
// tells of the new life: the answer is taken for the life before, with and without an entry of that.
func TestAWordOfALifeThatIsNotKnownYetCountsForIt(t *testing.T) {
	for _, lapsed := range []bool{false, true} {
		g := NewWithT(t)
		clock := newHandClock()
		registry := backend.NewRegistry(clock.read)
		registry.SetWallClock(clock.read)
		born := func(at time.Time) backend.Backend {
			return backend.Backend{ID: "a@" + at.String(), RegisteredAs: "a", StartedAt: at.UnixMilli(), Service: "first", State: backend.StateReady}
		}
		before := born(clock.read())
		registry.Update(before)
		clock.pass(time.Minute)
		next := born(clock.read())
		clock.pass(time.Second)
		registry.RecordNotice(before, backend.Notice{Backoff: 5 * time.Second})
		if lapsed {
			registry.RemoveRegistered("a")
		}
		clock.pass(time.Second)
		registry.Update(next)
		g.Expect(registry.Lookup(next.ID).BackoffRemaining()).To(Equal(4 * time.Second))
		clock.pass(time.Minute)
		later := born(clock.read())
		clock.pass(time.Second)
		registry.RecordNotice(next, backend.Notice{Leaving: true})
		if lapsed {
			registry.RemoveRegistered("a")
		}
		registry.Update(later)
		g.Expect(registry.Lookup(later.ID).BackoffRemaining()).To(Equal(10*time.Second), "it leaves, if clocks agree")
		clock.pass(10 * time.Second)
		g.Expect(registry.Lookup(later.ID).BackoffRemaining()).To(BeZero())
		g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1), "its next answer tells")
	}
}

// TestALifeWithoutBirthIsUsedAfterAMinute has a back end start again whose lives cannot be told apart.
func TestALifeWithoutBirthIsUsedAfterAMinute(t *testing.T) {
	g := NewWithT(t)
	clock := newHandClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(lifeOf(0, backend.StateReady))
	registry.RecordNotice(lifeOf(0, backend.StateReady), backend.Notice{Leaving: true})
	registry.RemoveRegistered("a")
	clock.pass(59 * time.Second)
	registry.Update(lifeOf(0, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(BeEmpty())
	registry.RemoveRegistered("a")
	clock.pass(61 * time.Second)
	registry.Update(lifeOf(0, backend.StateReady))
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
}

// TestNoLifeThatSaidItLeavesIsGivenWork plays histories of lives, words and entries by chance against a
// plain record of who has said that it leaves.
func TestNoLifeThatSaidItLeavesIsGivenWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newHandClock()
		registry := backend.NewRegistry(clock.read)
		said := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			clock.pass(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			life := lifeOf(rapid.Int64Range(1, 2).Draw(t, "born"), rapid.SampledFrom([]backend.State{backend.StateReady, backend.StateDraining}).Draw(t, "state"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				registry.Update(life)
			case 1:
				registry.Remove(life.ID)
			default:
				registry.RecordNotice(life, backend.Notice{Leaving: true})
				said[life.ID] = true
			}
			for _, entry := range registry.Ready("first", backend.RoleNone) {
				if said[entry.Backend().ID] {
					t.Fatalf("%s is given work", entry.Backend().ID)
				}
			}
		}
	})
}

// TestABackoffIsKeptToItsEnd asks for backoff again before the end, and has the entry lapse meanwhile.
func TestABackoffIsKeptToItsEnd(t *testing.T) {
	g := NewWithT(t)
	clock := newHandClock()
	registry := backend.NewRegistry(clock.read)
	registry.Update(lifeOf(1, backend.StateReady))
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Backoff: 3 * time.Second}).Backoff).To(Equal(3 * time.Second))
	clock.pass(time.Second)
	g.Expect(registry.RecordNotice(lifeOf(1, backend.StateReady), backend.Notice{Backoff: time.Second}).IsEmpty()).To(BeTrue(), "it is in backoff already")
	g.Expect(registry.Lookup("a@1").BackoffRemaining()).To(Equal(2 * time.Second))
	g.Expect(registry.Lookup("a@1").BackingOffFor()).To(Equal(time.Second))
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(Equal(2 * time.Second))
	g.Expect(registry.ServiceBackoff("second", backend.RoleNone)).To(BeZero())
	g.Expect(registry.Withheld("first")).To(ConsistOf("a@1"))
	registry.RemoveRegistered("a")
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(BeZero(), "there is none")
	registry.Update(lifeOf(1, backend.StateReady))
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(Equal(2 * time.Second))
	clock.pass(2 * time.Second)
	g.Expect(registry.ServiceBackoff("first", backend.RoleNone)).To(BeZero())
	g.Expect(registry.Withheld("first")).To(BeEmpty())
	g.Expect(registry.Lookup("a@1").BackingOffFor()).To(BeZero())
	g.Expect(registry.Ready("first", backend.RoleNone)).To(HaveLen(1))
}
