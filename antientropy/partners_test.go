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

// newSelector returns the syncer of one node of a fleet; it calls no other node.
func newSelector(peers, monitored []string) *Syncer {
	return New(Options{
		Replica: replica.New(urgentKind, func(replica.Change) {}), Logger: slog.New(slog.DiscardHandler),
		Client: peer.NewClient("test", nil, timeline.NewClock(time.Now)),
		Peers:  func() []string { return peers }, Monitored: func() []string { return monitored },
	})
}

// selectedForPush returns all nodes of one push round.
func (s *Syncer) selectedForPush() []string {
	zonePeers, relays := s.pushTargets(defaultFanout)
	return append(zonePeers, relays...)
}

func fleetOf(size int) []string {
	addresses := make([]string, size)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
	}
	return addresses
}

// selected returns all nodes that are selected in the given number of rounds, either to be pushed to or to be
// compared with.
func selected(s *Syncer, rounds int, isPush bool) map[string]bool {
	addresses := map[string]bool{}
	for range rounds {
		round := s.selectPeers
		if isPush {
			round = func() []string { return s.selectedForPush() }
		}
		for _, address := range round() {
			addresses[address] = true
		}
	}
	return addresses
}

// TestConnectionsDoNotGrowWithFleetSize counts the nodes that one of 400 nodes calls in a period.
func TestConnectionsDoNotGrowWithFleetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := fleetOf(400)
		s := newSelector(fleet, fleet[:12])
		first := selected(s, 300, true)
		g.Expect(first).To(HaveLen(partnerCount))
		g.Expect(selected(s, 300, false)).To(HaveLen(len(union(first, fleet[:12]))))
		time.Sleep(partnerPeriod)
		g.Expect(selected(s, 300, true)).NotTo(Equal(first), "other partners are selected in the next period")
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

// TestSmallFleetComparesWithAllNodes checks that a node of a small fleet calls all nodes.
func TestSmallFleetComparesWithAllNodes(t *testing.T) {
	fleet := fleetOf(8)
	NewWithT(t).Expect(selected(newSelector(fleet, fleet), 500, false)).To(HaveLen(len(fleet)))
}

// TestUpdatesReachAllNodes propagates an update from one of 400 nodes: in each round, each node that has it pushes
// it to defaultFanout of its partners.
func TestUpdatesReachAllNodes(t *testing.T) {
	g := NewWithT(t)
	const rounds = 25
	fleet := fleetOf(400)
	nodes := map[string]*Syncer{}
	for _, address := range fleet {
		nodes[address] = newSelector(fleet, fleet[:12])
	}
	reached := map[string]bool{fleet[0]: true}
	for range rounds {
		for address := range union(reached, nil) {
			for _, next := range nodes[address].selectedForPush() {
				reached[next] = true
			}
		}
	}
	g.Expect(reached).To(HaveLen(len(fleet)))
}

// TestUnresponsiveNodesAreRetried marks a node as unresponsive that is no partner of this one: it is not called
// for a while, and then retried until it answers.
func TestUnresponsiveNodesAreRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := fleetOf(400)
		s := newSelector(fleet, fleet[:12])
		partners := selected(s, 300, true)
		var other string
		for _, address := range fleet {
			if !partners[address] {
				other = address
			}
		}
		s.ReportFailure(other, peer.ErrNotSent)
		g.Expect(selected(s, 200, true)).NotTo(HaveKey(other))
		time.Sleep(defaultUnresponsiveBackoff)
		g.Expect(selected(s, 200, true)).To(HaveKey(other))
		for address := range partners {
			s.ReportFailure(address, peer.ErrNotSent)
		}
		g.Expect(len(selected(s, 200, true))).To(BeNumerically(">=", partnerCount), "other nodes replace unresponsive partners")
	})
}

// TestAllMonitoredNodesAreCompared has one node monitor all: it must detect the lost ones whatever their zone.
func TestAllMonitoredNodesAreCompared(t *testing.T) {
	fleet := fleetOf(400)
	NewWithT(t).Expect(selected(newSelector(fleet, fleet), 10_000, false)).To(HaveLen(len(fleet)))
}

// zonedFleet is a fleet of several zones whose nodes select peers by one seed.
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
		node := newSelector(fleet.addresses, fleet.addresses[:zonedWatchers])
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

// propagate pushes an update of one node to all. It returns how many nodes have received it after the rounds, and
// how many calls that took, in total and across zone borders.
func (f zonedFleet) propagate(from string, rounds int) (count, calls, callsAcrossZones int) {
	reached := map[string]bool{from: true}
	senders := []string{from}
	for range rounds {
		var next []string
		for _, address := range senders {
			for _, other := range f.nodes[address].selectedForPush() {
				calls++
				if f.zoneOf[other] != f.zoneOf[address] {
					callsAcrossZones++
				}
				if !reached[other] {
					reached[other] = true
					next = append(next, other)
				}
			}
		}
		senders = next
	}
	return len(reached), calls, callsAcrossZones
}

// TestUpdatesCrossZonesThroughRelays propagates updates in fleets of three zones. Most nodes receive them, and
// few of the calls cross a border. The number of receivers varies with the randomly selected partners, so the
// test sums up twenty fleets.
func TestUpdatesCrossZonesThroughRelays(t *testing.T) {
	g := NewWithT(t)
	const (
		rounds = 25
		size   = 300
		zones  = 3
		fleets = 20
	)
	reached := 0
	for seed := range uint64(fleets) {
		fleet := newZonedFleet(size, zones, seed)
		// One node of a zone has an update that the store does not have.
		delivered, calls, callsAcrossZones := fleet.propagate(fleet.addresses[200], rounds)
		reached += delivered
		g.Expect(callsAcrossZones).To(BeNumerically("<=", 2*zonedWatchers))
		g.Expect(calls).To(BeNumerically(">", 10*callsAcrossZones))
	}
	g.Expect(reached).To(BeNumerically(">", fleets*size*3/4), "the rest receive the update by periodic comparisons")
}

// TestOnlyZoneRelaysExchangeAcrossZones checks with whom nodes of three zones exchange objects.
func TestOnlyZoneRelaysExchangeAcrossZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fleet := newZonedFleet(300, 3, 1)
		zonePeer, otherZonePeer := fleet.addresses[3], fleet.addresses[1]
		node := fleet.nodes[fleet.addresses[0]]
		node.options.IsZoneRelay = func() bool { return false }
		g.Expect(node.mayExchange(otherZonePeer)).To(BeTrue(), "it had no contact with its zone yet")
		node.noteContact(zonePeer, nil)
		g.Expect(node.mayExchange(otherZonePeer)).To(BeFalse())
		g.Expect(node.mayExchange(zonePeer)).To(BeTrue())
		for range 100 {
			for _, address := range node.selectPeers() {
				isWatcher := slices.Contains(fleet.addresses[:zonedWatchers], address)
				g.Expect(isWatcher || fleet.zoneOf[address] == 0).To(BeTrue(), "%s", address)
			}
		}
		time.Sleep(zoneContactTimeout + time.Second)
		g.Expect(node.mayExchange(otherZonePeer)).To(BeTrue(), "its zone has become unresponsive")
		node.noteContact(zonePeer, nil)
		node.options.IsZoneRelay = func() bool { return true }
		g.Expect(node.mayExchange(otherZonePeer)).To(BeTrue())
	})
}

// TestMonitoredNodesAreComparedInTime has one node monitor up to 2,000 others: it must compare with most of them
// within a minute whatever the size of the fleet, so that it detects the lost ones.
func TestMonitoredNodesAreComparedInTime(t *testing.T) {
	for _, size := range []int{100, 1000, 2000} {
		fleet := fleetOf(size)
		node := newSelector(fleet, fleet)
		rounds := int(time.Minute / node.options.Interval)
		NewWithT(t).Expect(len(selected(node, rounds, false))).To(BeNumerically(">", size*9/10), "of %d", size)
	}
}
