package router

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/coordinator"
)

// viewedNode returns a node of a generated fleet.
func viewedNode(index int, zone string, linkBytes, capacity float64) knownNode {
	address := fmt.Sprintf("10.0.%d.%d:80", index/250, index%250)
	return knownNode{
		Node: coordinator.Node{Address: address, Incarnation: strconv.Itoa(index)}, zone: zone,
		linkBytes: linkBytes, capacity: capacity, addressHash: hashOf(address), capabilities: capabilitiesOf(ownCapabilities()),
	}
}

func drawNodes(t *rapid.T) []knownNode {
	nodes := make([]knownNode, rapid.IntRange(1, 60).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = viewedNode(i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			rapid.SampledFrom([]float64{1e6, 1e7}).Draw(t, "link"), rapid.SampledFrom([]float64{0.2, 0.8, 1.6}).Draw(t, "capacity"))
	}
	return nodes
}

// TestViewMatchesFullScan compares a view with a scan of all nodes in their ranking order.
func TestViewMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		own, others := nodes[0], nodes[1:]
		unresponsive := map[string]bool{}
		for _, node := range others {
			unresponsive[node.Address] = rapid.Bool().Draw(t, "unresponsive")
		}
		view := newFleetView(fleetInputs{
			own: own, registered: true, others: others, nodeCount: len(nodes),
			isResponsive: func(address string) bool { return !unresponsive[address] },
		})
		responsive := slices.DeleteFunc(slices.Clone(nodes), func(node knownNode) bool { return unresponsive[node.Address] })
		slices.SortFunc(responsive, compareWatchers)
		position := slices.IndexFunc(responsive, func(node knownNode) bool { return node.Address == own.Address })
		if view.responsiveCount != len(responsive) || view.position != position {
			t.Fatalf("position %d of %d, want %d of %d", view.position, view.responsiveCount, position, len(responsive))
		}
		zones := map[string][]string{}
		var watchers []string
		for i, node := range responsive {
			if len(zones[node.zone]) < relaysPerZone {
				zones[node.zone] = append(zones[node.zone], node.Address)
			}
			if i != position && len(watchers) < maxWatchers {
				watchers = append(watchers, node.Address)
			}
		}
		if !slices.Equal(addressesOf(view.watchers), watchers) {
			t.Fatalf("watchers %v, want %v", addressesOf(view.watchers), watchers)
		}
		for zone, zoneRelays := range zones {
			if !slices.Equal(addressesOf(view.zoneRelays[zone]), zoneRelays) {
				t.Fatalf("zone relays %v, want %v", addressesOf(view.zoneRelays[zone]), zoneRelays)
			}
		}
		checkCandidates(t, view, responsive, len(nodes))
	})
}

// checkCandidates checks that the candidates are the strong responsive nodes, provided that half of the
// fleet is responsive.
func checkCandidates(t *rapid.T, view *fleetView, responsive []knownNode, known int) {
	greatest := 0.0
	for _, node := range responsive {
		greatest = max(greatest, node.capacity)
	}
	for _, node := range responsive {
		isStrong := 2*len(responsive) >= known && node.capacity >= minCapacityShare*greatest
		if slices.Contains(view.candidates[capabilityServices], node.Node) != isStrong {
			t.Fatalf("candidate %s: want %v", node.Address, isStrong)
		}
	}
}

// TestViewIsComputedOnce counts how often a view is computed, and the allocations of a decision by a
// cached view in fleets of 1,000 and 2,000 nodes.
func TestViewIsComputedOnce(t *testing.T) {
	for _, size := range []int{1000, 2000} {
		g := NewWithT(t)
		nodes := make([]knownNode, size)
		for i := range nodes {
			nodes[i] = viewedNode(i, "a", 1e6, 0.2)
		}
		computed := 0
		compute := func() *fleetView {
			computed++
			return newFleetView(fleetInputs{
				own: nodes[0], registered: true, others: nodes[1:], nodeCount: size, isResponsive: func(string) bool { return true },
			})
		}
		var cached cachedFleetView
		version := fleetViewVersion{nodes: 1}
		g.Expect(testing.AllocsPerRun(100, func() { cached.get(version, compute) })).To(BeZero())
		g.Expect(computed).To(Equal(1))
		version.contacts++
		cached.get(version, compute)
		g.Expect(computed).To(Equal(2), "a node became unresponsive")
	}
}
