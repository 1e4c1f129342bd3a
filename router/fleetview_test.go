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

// viewedNode is one of the nodes of a drawn fleet.
func viewedNode(index int, zone string, linkBytes, capacity float64) knownNode {
	address := fmt.Sprintf("10.0.%d.%d:80", index/250, index%250)
	return knownNode{
		Node: coordinator.Node{Address: address, Incarnation: strconv.Itoa(index)}, zone: zone,
		linkBytes: linkBytes, capacity: capacity, addressHash: hashOf(address), abilities: abilitiesOf(ownAbilities()),
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

// TestAViewIsThatOfAllNodes compares a view with a look at all nodes in their order.
func TestAViewIsThatOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		own, others := nodes[0], nodes[1:]
		silent := map[string]bool{}
		for _, node := range others {
			silent[node.Address] = rapid.Bool().Draw(t, "silent")
		}
		view := newFleetView(fleetSources{
			own: own, registered: true, others: others, nodeCount: len(nodes),
			isResponsive: func(address string) bool { return !silent[address] },
		})
		answering := slices.DeleteFunc(slices.Clone(nodes), func(node knownNode) bool { return silent[node.Address] })
		slices.SortFunc(answering, compareWatchers)
		position := slices.IndexFunc(answering, func(node knownNode) bool { return node.Address == own.Address })
		if view.responsiveCount != len(answering) || view.position != position {
			t.Fatalf("%d of %d in place of %d of %d", view.position, view.responsiveCount, position, len(answering))
		}
		zones := map[string][]string{}
		var watchers []string
		for i, node := range answering {
			if len(zones[node.zone]) < bridgesPerZone {
				zones[node.zone] = append(zones[node.zone], node.Address)
			}
			if i != position && len(watchers) < maxWatchers {
				watchers = append(watchers, node.Address)
			}
		}
		if !slices.Equal(addressesOf(view.watchers), watchers) {
			t.Fatalf("watchers %v in place of %v", addressesOf(view.watchers), watchers)
		}
		for zone, bridges := range zones {
			if !slices.Equal(addressesOf(view.bridges[zone]), bridges) {
				t.Fatalf("bridges %v in place of %v", addressesOf(view.bridges[zone]), bridges)
			}
		}
		checkCandidates(t, view, answering, len(nodes))
	})
}

// checkCandidates wants the strong ones of those that answer, where these are half of the fleet.
func checkCandidates(t *rapid.T, view *fleetView, answering []knownNode, known int) {
	greatest := 0.0
	for _, node := range answering {
		greatest = max(greatest, node.capacity)
	}
	for _, node := range answering {
		isStrong := 2*len(answering) >= known && node.capacity >= strongShare*greatest
		if slices.Contains(view.candidates[abilityServices], node.Node) != isStrong {
			t.Fatalf("candidate %s is %v", node.Address, isStrong)
		}
	}
}

// TestDecisionsLookAtTheFleetOnce counts how often a view is computed, and what a decision by a kept one
// allocates in fleets of 1,000 and 2,000 nodes.
func TestDecisionsLookAtTheFleetOnce(t *testing.T) {
	for _, size := range []int{1000, 2000} {
		g := NewWithT(t)
		nodes := make([]knownNode, size)
		for i := range nodes {
			nodes[i] = viewedNode(i, "a", 1e6, 0.2)
		}
		computed := 0
		compute := func() *fleetView {
			computed++
			return newFleetView(fleetSources{
				own: nodes[0], registered: true, others: nodes[1:], nodeCount: size, isResponsive: func(string) bool { return true },
			})
		}
		var held heldFleetView
		version := fleetViewVersion{nodes: 1}
		g.Expect(testing.AllocsPerRun(100, func() { held.get(version, compute) })).To(BeZero())
		g.Expect(computed).To(Equal(1))
		version.contacts++
		held.get(version, compute)
		g.Expect(computed).To(Equal(2), "a node has fallen silent")
	}
}
