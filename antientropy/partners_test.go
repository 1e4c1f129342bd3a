package antientropy

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/timeline"
)

// newDrawing returns the syncer of one node of a fleet; nothing is called.
func newDrawing(peers, sources []string) *Syncer {
	return New(Options{
		Replica: replica.New(urgentKind, func(replica.Change) {}), Logger: slog.New(slog.DiscardHandler),
		Client: peer.NewClient("test", nil, timeline.NewClock(time.Now)),
		Peers:  func() []string { return peers }, Monitored: func() []string { return sources },
	})
}

// newsDrawn returns all nodes of one round with news.
func (s *Syncer) newsDrawn() []string {
	near, relays := s.newsTargets(defaultFanout)
	return append(near, relays...)
}

func fleetOf(size int) []string {
	addresses := make([]string, size)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	}
	return addresses
}

// drawn returns all nodes of many rounds.
func drawn(s *Syncer, rounds int, isNews bool) map[string]bool {
	seen := map[string]bool{}
	for range rounds {
		round := s.draw
		if isNews {
			round = func() []string { return s.newsDrawn() }
		}
		for _, address := range round() {
			seen[address] = true
		}
	}
	return seen
}

// TestConnectionsDoNotGrowWithTheFleet counts the nodes that one of 400 calls in a period.
func TestConnectionsDoNotGrowWithTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := fleetOf(400)
		s := newDrawing(fleet, fleet[:12])
		first := drawn(s, 300, true)
		g.Expect(first).To(HaveLen(partnerCount))
		g.Expect(drawn(s, 300, false)).To(HaveLen(len(union(first, fleet[:12]))))
		time.Sleep(partnerPeriod)
		g.Expect(drawn(s, 300, true)).NotTo(Equal(first), "others in the next period")
	})
}

func union(set map[string]bool, more []string) map[string]bool {
	joined := map[string]bool{}
	for address := range set {
		joined[address] = true
	}
	for _, address := range more {
		joined[address] = true
	}
	return joined
}

// TestASmallFleetComparesWithAll has each node call each other one.
func TestASmallFleetComparesWithAll(t *testing.T) {
	fleet := fleetOf(8)
	NewWithT(t).Expect(drawn(newDrawing(fleet, fleet), 500, false)).To(HaveLen(len(fleet)))
}

// TestNewsReachAll spreads news from one node over the partners of 400: each node that hears
// of them brings them to two.
func TestNewsReachAll(t *testing.T) {
	g := NewWithT(t)
	const rounds = 25
	fleet := fleetOf(400)
	nodes := map[string]*Syncer{}
	for _, address := range fleet {
		nodes[address] = newDrawing(fleet, fleet[:12])
	}
	knows := map[string]bool{fleet[0]: true}
	for range rounds {
		for address := range union(knows, nil) {
			for _, next := range nodes[address].newsDrawn() {
				knows[next] = true
			}
		}
	}
	g.Expect(knows).To(HaveLen(len(fleet)))
}

// TestSilentNodesAreTriedAgain marks a node as silent that is no partner of this one: it is
// left alone for a while, and then tried until it answers.
func TestSilentNodesAreTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := fleetOf(400)
		s := newDrawing(fleet, fleet[:12])
		partners := drawn(s, 300, true)
		var other string
		for _, address := range fleet {
			if !partners[address] {
				other = address
			}
		}
		s.ReportFailure(other, peer.ErrNotSent)
		g.Expect(drawn(s, 200, true)).NotTo(HaveKey(other))
		time.Sleep(defaultAvoidance)
		g.Expect(drawn(s, 200, true)).To(HaveKey(other))
		for address := range partners {
			s.ReportFailure(address, peer.ErrNotSent)
		}
		g.Expect(len(drawn(s, 200, true))).To(BeNumerically(">=", partnerCount), "others take their place")
	})
}

// TestAllSourcesAreLookedAt lets one node look at all: it finds the lost ones wherever they
// are.
func TestAllSourcesAreLookedAt(t *testing.T) {
	fleet := fleetOf(400)
	NewWithT(t).Expect(drawn(newDrawing(fleet, fleet), 10_000, false)).To(HaveLen(len(fleet)))
}

// zonedFleet is a fleet of three zones whose nodes draw by one seed.
type zonedFleet struct {
	addresses []string
	zoneOf    map[string]int
	nodes     map[string]*Syncer
}

const zonedWatchers = 12

func newZonedFleet(size, zones int, seed uint64) zonedFleet {
	fleet := zonedFleet{addresses: fleetOf(size), zoneOf: map[string]int{}, nodes: map[string]*Syncer{}}
	random := rand.New(rand.NewPCG(seed, 0))
	for i, address := range fleet.addresses {
		fleet.zoneOf[address] = i % zones
	}
	for i, address := range fleet.addresses {
		node := newDrawing(fleet.addresses, fleet.addresses[:zonedWatchers])
		node.salt, node.permute = fmt.Sprint(seed, address), random.Shuffle
		node.options.SameZone = func(other string) bool { return fleet.zoneOf[other] == fleet.zoneOf[address] }
		if i < zonedWatchers {
			node.options.RemoteRelays = func() []string {
				return []string{fleet.addresses[(i+1)%zonedWatchers], fleet.addresses[(i+2)%zonedWatchers]}
			}
		}
		fleet.nodes[address] = node
	}
	return fleet
}

// spread brings news of one node to all, and returns how many know them in the end, and how many calls
// that took, within zones and across their borders.
func (f zonedFleet) spread(from string, rounds int) (knowing, calls, across int) {
	knows := map[string]bool{from: true}
	heard := []string{from}
	for range rounds {
		var next []string
		for _, address := range heard {
			for _, other := range f.nodes[address].newsDrawn() {
				calls++
				if f.zoneOf[other] != f.zoneOf[address] {
					across++
				}
				if !knows[other] {
					knows[other] = true
					next = append(next, other)
				}
			}
		}
		heard = next
	}
	return len(knows), calls, across
}

// TestNewsCrossZonesByRelays spreads news in fleets of three zones. Most nodes hear of them, and few of
// the calls cross a border. How many hear varies with the partners that are drawn, so that twenty fleets
// are looked at together.
func TestNewsCrossZonesByRelays(t *testing.T) {
	g := NewWithT(t)
	const (
		rounds = 25
		size   = 300
		zones  = 3
		fleets = 20
	)
	knowing := 0
	for seed := range uint64(fleets) {
		fleet := newZonedFleet(size, zones, seed)
		// One node of a zone has news that the store does not have.
		known, calls, across := fleet.spread(fleet.addresses[200], rounds)
		knowing += known
		g.Expect(across).To(BeNumerically("<=", 2*zonedWatchers))
		g.Expect(calls).To(BeNumerically(">", 10*across))
	}
	g.Expect(knowing).To(BeNumerically(">", fleets*size*3/4), "the rest hears at the next rounds without news")
}

// TestOnlyBridgesExchangeAcrossZones asks nodes of three zones with whom they exchange objects.
func TestOnlyBridgesExchangeAcrossZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newZonedFleet(300, 3, 1)
		near, far := fleet.addresses[3], fleet.addresses[1]
		node := fleet.nodes[fleet.addresses[0]]
		node.options.IsZoneRelay = func() bool { return false }
		g.Expect(node.mayExchange(far)).To(BeTrue(), "it has heard of no neighbour yet")
		node.noteContact(near, nil)
		g.Expect(node.mayExchange(far)).To(BeFalse())
		g.Expect(node.mayExchange(near)).To(BeTrue())
		for range 100 {
			for _, address := range node.draw() {
				isSource := slices.Contains(fleet.addresses[:zonedWatchers], address)
				g.Expect(isSource || fleet.zoneOf[address] == 0).To(BeTrue(), "%s", address)
			}
		}
		time.Sleep(neighbourPatience + time.Second)
		g.Expect(node.mayExchange(far)).To(BeTrue(), "its neighbours have fallen silent")
		node.noteContact(near, nil)
		node.options.IsZoneRelay = func() bool { return true }
		g.Expect(node.mayExchange(far)).To(BeTrue())
	})
}

// TestManySourcesAreLookedAtInTime lets one node look at a thousand others: it is to find the lost ones
// within a minute whatever the size of the fleet.
func TestManySourcesAreLookedAtInTime(t *testing.T) {
	for _, size := range []int{100, 1000, 2000} {
		fleet := fleetOf(size)
		node := newDrawing(fleet, fleet)
		rounds := int(time.Minute / node.options.Interval)
		NewWithT(t).Expect(len(drawn(node, rounds, false))).To(BeNumerically(">", size*9/10), "of %d", size)
	}
}
