package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/peer/peerpb"
)

var startTime = time.Unix(1000, 0)

func member(name, zone string, incarnation uint64) Member {
	return Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: incarnation, State: StateReady}
}

func newTable(name, zone string) *Table { return NewTable(member(name, zone, 1), Options{}) }

func TestMemberTerminates(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	g.Expect(table.ObserveMember(startTime, member("b", "zone", 5))).To(BeTrue())
	g.Expect(table.IsTerminated(startTime.Add(2*time.Second), "b", 5)).To(BeFalse())
	g.Expect(table.IsTerminated(startTime.Add(4*time.Second), "b", 5)).To(BeTrue())
	g.Expect(table.ObserveMember(startTime, member("b", "zone", 6))).To(BeTrue())
	g.Expect(table.IsTerminated(startTime, "b", 5)).To(BeTrue(), "a later start was observed")
	g.Expect(table.ObserveMember(startTime, member("b", "zone", 5))).To(BeFalse(), "heartbeat of an earlier start")
}

// TestPauseDoesNotAgeContacts pauses the node itself: the pause must not count
// as missed heartbeats of others.
func TestPauseDoesNotAgeContacts(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	table.Tick(startTime)
	table.ObserveMember(startTime, member("b", "zone", 1))
	resumed := startTime.Add(time.Minute)
	g.Expect(table.IsTerminated(resumed, "b", 1)).To(BeTrue())
	g.Expect(table.Tick(resumed)).To(BeNumerically(">", 50*time.Second))
	g.Expect(table.IsTerminated(resumed, "b", 1)).To(BeFalse())
	g.Expect(table.IsTerminated(resumed.Add(4*time.Second), "b", 1)).To(BeTrue())
}

func TestZoneIsFetchedOncePerDigest(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	far := []Member{member("x", "far", 1), member("y", "far", 1)}
	digest := []*peerpb.ZoneDigest{{Zone: "far", Digest: digestOf(far)}}
	g.Expect(table.ObserveDigests(startTime, digest)).To(Equal([]string{"far"}))
	table.ReplaceZone(startTime, "far", far, 0)
	g.Expect(table.ObserveDigests(startTime.Add(time.Second), digest)).To(BeEmpty())
	g.Expect(Names(table.Live(startTime.Add(time.Second)))).To(Equal([]string{"a", "x", "y"}))
	g.Expect(Names(table.Live(startTime.Add(8*time.Second)))).To(Equal([]string{"a"}), "the zone's report has expired")
	older := []*peerpb.ZoneDigest{{Zone: "far", Digest: 7, AgeMs: 5000}}
	g.Expect(table.ObserveDigests(startTime.Add(time.Second), older)).To(BeEmpty(), "an older report is ignored")
}

func TestLostMembersCountAgainstMajority(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	table.ObserveMember(startTime, member("b", "zone", 1))
	table.ReplaceZone(startTime, "far", []Member{member("x", "far", 1), member("y", "far", 1)}, 0)
	g.Expect(table.SeesMajority(startTime)).To(BeTrue())
	later := startTime.Add(10 * time.Second)
	g.Expect(table.SeesMajority(later)).To(BeFalse())
	table.ObserveMember(later, member("b", "zone", 1))
	g.Expect(table.SeesMajority(later)).To(BeFalse(), "two of four")
	table.ReplaceZone(later, "far", []Member{member("x", "far", 1)}, 0)
	g.Expect(table.SeesMajority(later)).To(BeTrue())
}

// TestPairExchangesOnce lets two tables of a zone check for due heartbeats at
// the same times: there must be about one call per interval, whichever node
// makes it.
func TestPairExchangesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTable("a", "zone"), newTable("b", "zone")
		a.ObserveMember(startTime, b.Self())
		b.ObserveMember(startTime, a.Self())
		calls := 0
		const seconds = 20
		for step := range seconds * 4 {
			now := startTime.Add(time.Duration(step) * 250 * time.Millisecond)
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "jitter")) * time.Millisecond)
			for _, pair := range [][2]*Table{{a, b}, {b, a}} {
				if len(pair[0].Targets(now)) > 0 {
					calls++
					pair[0].ObserveMember(now, pair[1].Self())
					pair[1].ObserveMember(now, pair[0].Self())
				}
			}
		}
		if calls < seconds-2 || calls > seconds*3/2 {
			t.Fatalf("%d calls in %d intervals", calls, seconds)
		}
	})
}

// TestOnlyRepresentativesCallOtherZones counts the nodes of a zone that call
// another zone.
func TestOnlyRepresentativesCallOtherZones(t *testing.T) {
	g := NewWithT(t)
	var zone, far []Member
	for i := range 20 {
		zone = append(zone, member(fmt.Sprintf("n%02d", i), "zone", 1))
		far = append(far, member(fmt.Sprintf("f%02d", i), "far", 1))
	}
	calling := 0
	for _, self := range zone {
		table := NewTable(self, Options{})
		for _, other := range zone {
			table.ObserveMember(startTime, other)
		}
		table.ReplaceZone(startTime, "far", far, 0)
		remote := 0
		for _, target := range table.Targets(startTime.Add(2 * time.Second)) {
			if target.Zone == "far" {
				remote++
			}
		}
		if remote > 0 {
			calling++
			g.Expect(remote).To(Equal(2))
		}
	}
	g.Expect(calling).To(Equal(2))
}

// TestOwnZoneViewIsNeverStale compares the cached view of the own zone with a
// newly computed one after each of a random series of heartbeats, pauses, state
// changes and clock steps.
func TestOwnZoneViewIsNeverStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable("a", "zone")
		now := startTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 2500).Draw(t, "milliseconds")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table.Tick(now)
			case 1:
				table.SetState(State(rapid.IntRange(1, 3).Draw(t, "state")))
			case 2:
				table.Targets(now)
			default:
				name := string(rune('b' + rapid.IntRange(0, 4).Draw(t, "name")))
				zone := rapid.SampledFrom([]string{"zone", "far"}).Draw(t, "zone")
				table.ObserveMember(now, member(name, zone, uint64(rapid.IntRange(1, 3).Draw(t, "incarnation"))))
			}
			cached, computed := table.ownZone(now), table.computeOwnZone(now)
			if !slices.Equal(cached.members, computed.members) || cached.digest != computed.digest || cached.isRepresentative != computed.isRepresentative {
				t.Fatalf("at %s: cached %v, computed %v", now, cached.members, computed.members)
			}
		}
	})
}
