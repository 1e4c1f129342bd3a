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

var begin = time.Unix(1000, 0)

func member(name, zone string, incarnation uint64) Member {
	return Member{Name: name, Zone: zone, Address: name + ":1", Incarnation: incarnation, State: StateReady}
}

func newTable(name, zone string) *Table { return NewTable(member(name, zone, 1), Options{}) }

func TestMemberLivesAndIsGone(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	g.Expect(table.ObserveMember(begin, member("b", "zone", 5))).To(BeTrue())
	g.Expect(table.IsTerminated(begin.Add(2*time.Second), "b", 5)).To(BeFalse())
	g.Expect(table.IsTerminated(begin.Add(4*time.Second), "b", 5)).To(BeTrue())
	g.Expect(table.ObserveMember(begin, member("b", "zone", 6))).To(BeTrue())
	g.Expect(table.IsTerminated(begin, "b", 5)).To(BeTrue(), "a later start was seen")
	g.Expect(table.ObserveMember(begin, member("b", "zone", 5))).To(BeFalse(), "news of an earlier start")
}

// TestPauseSaysNothingAboutOthers pauses the node itself.
func TestPauseSaysNothingAboutOthers(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	table.Tick(begin)
	table.ObserveMember(begin, member("b", "zone", 1))
	thawed := begin.Add(time.Minute)
	g.Expect(table.IsTerminated(thawed, "b", 1)).To(BeTrue())
	g.Expect(table.Tick(thawed)).To(BeNumerically(">", 50*time.Second))
	g.Expect(table.IsTerminated(thawed, "b", 1)).To(BeFalse())
	g.Expect(table.IsTerminated(thawed.Add(4*time.Second), "b", 1)).To(BeTrue())
}

func TestDigestAsksForTheZoneOnce(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	far := []Member{member("x", "far", 1), member("y", "far", 1)}
	digest := []*peerpb.ZoneDigest{{Zone: "far", Digest: digestOf(far)}}
	g.Expect(table.ObserveDigests(begin, digest)).To(Equal([]string{"far"}))
	table.ReplaceZone(begin, "far", far, 0)
	g.Expect(table.ObserveDigests(begin.Add(time.Second), digest)).To(BeEmpty())
	g.Expect(Names(table.Live(begin.Add(time.Second)))).To(Equal([]string{"a", "x", "y"}))
	g.Expect(Names(table.Live(begin.Add(8*time.Second)))).To(Equal([]string{"a"}), "the zone was not heard of")
	older := []*peerpb.ZoneDigest{{Zone: "far", Digest: 7, AgeMs: 5000}}
	g.Expect(table.ObserveDigests(begin.Add(time.Second), older)).To(BeEmpty(), "an older report does not count")
}

func TestMajority(t *testing.T) {
	g := NewWithT(t)
	table := newTable("a", "zone")
	table.ObserveMember(begin, member("b", "zone", 1))
	table.ReplaceZone(begin, "far", []Member{member("x", "far", 1), member("y", "far", 1)}, 0)
	g.Expect(table.SeesMajority(begin)).To(BeTrue())
	later := begin.Add(10 * time.Second)
	g.Expect(table.SeesMajority(later)).To(BeFalse())
	table.ObserveMember(later, member("b", "zone", 1))
	g.Expect(table.SeesMajority(later)).To(BeFalse(), "two of four")
	table.ReplaceZone(later, "far", []Member{member("x", "far", 1)}, 0)
	g.Expect(table.SeesMajority(later)).To(BeTrue())
}

// TestPairExchangesOnce lets two tables of a zone look for due heartbeats at the
// same times: one call an interval and pair, whoever makes it.
func TestPairExchangesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newTable("a", "zone"), newTable("b", "zone")
		a.ObserveMember(begin, b.Self())
		b.ObserveMember(begin, a.Self())
		calls := 0
		const seconds = 20
		for step := range seconds * 4 {
			now := begin.Add(time.Duration(step) * 250 * time.Millisecond)
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

// TestRepresentativesAreFew counts the nodes of a zone that call another zone.
func TestRepresentativesAreFew(t *testing.T) {
	g := NewWithT(t)
	var zone, far []Member
	for i := range 20 {
		zone = append(zone, member(fmt.Sprintf("n%02d", i), "zone", 1))
		far = append(far, member(fmt.Sprintf("f%02d", i), "far", 1))
	}
	speaking := 0
	for _, self := range zone {
		table := NewTable(self, Options{})
		for _, other := range zone {
			table.ObserveMember(begin, other)
		}
		table.ReplaceZone(begin, "far", far, 0)
		remote := 0
		for _, target := range table.Targets(begin.Add(2 * time.Second)) {
			if target.Zone == "far" {
				remote++
			}
		}
		if remote > 0 {
			speaking++
			g.Expect(remote).To(Equal(2))
		}
	}
	g.Expect(speaking).To(Equal(2))
}

// TestOwnZoneViewIsNeverStale compares the kept view of the own zone with one
// that is made anew, after each of a random series of heartbeats, pauses, changes
// of state and steps of the clock.
func TestOwnZoneViewIsNeverStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable("a", "zone")
		now := begin
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
			kept, anew := table.ownZone(now), table.viewOwnZone(now)
			if !slices.Equal(kept.members, anew.members) || kept.digest != anew.digest || kept.speaks != anew.speaks {
				t.Fatalf("at %s: kept %v, is %v", now, kept.members, anew.members)
			}
		}
	})
}
