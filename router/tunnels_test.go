package router

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

func tunnelNode(number int, zone string, listed []capability) knownNode {
	address := fmt.Sprintf("10.0.0.%d:7000", number)
	return knownNode{Node: coordinator.Node{Address: address}, zone: zone, capabilities: capabilitiesOf(listed)}
}

// TestTunnelsRequireCapability checks that a node of a build that opens no tunnels is not asked for one, nor one that is
// unresponsive.
func TestTunnelsRequireCapability(t *testing.T) {
	g := NewWithT(t)
	able, unresponsive, older := tunnelNode(2, "a", ownCapabilities()), tunnelNode(3, "a", ownCapabilities()), tunnelNode(4, "a", nil)
	listsOthers := tunnelNode(5, "a", []capability{capabilityServices, capabilityRetryShares})
	isResponsive := func(address string) bool { return address != unresponsive.Address }
	view := newFleetView(fleetInputs{
		own: tunnelNode(1, "a", ownCapabilities()), registered: true, nodeCount: 5,
		others: []knownNode{able, unresponsive, older, listsOthers}, isResponsive: isResponsive,
	})
	g.Expect(view.tunnelNodeCount).To(Equal(1))
	g.Expect(view.tunnelNodes(isResponsive)).To(ConsistOf(able))
}

// TestTunnelsAreSpread checks the order in which nodes are asked: those of the own zone first, those that could open none last,
// and all of a kind equally often.
func TestTunnelsAreSpread(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	nodes := tunnelNodes{pausedUntil: map[string]time.Time{}}
	var candidates []knownNode
	for i := range 10 {
		candidates = append(candidates, tunnelNode(i, "a", nil))
	}
	candidates = append(candidates, tunnelNode(20, "b", nil))
	nodes.pause(candidates[0].Address, now)
	first := map[string]int{}
	for range 9000 {
		asked := nodes.order(candidates, "a", now)
		g.Expect(asked).To(HaveLen(maxTunnelNodes))
		first[asked[0]]++
	}
	g.Expect(first).To(HaveLen(9))
	for _, count := range first {
		g.Expect(count).To(BeNumerically("~", 1000, 200))
	}
	g.Expect(nodes.order(candidates[:1], "a", now)).To(Equal([]string{candidates[0].Address}))
	g.Expect(nodes.order([]knownNode{candidates[0], candidates[10]}, "a", now)[0]).To(Equal(candidates[10].Address))
	later := now.Add(tunnelNodePause + time.Millisecond)
	g.Expect(nodes.order([]knownNode{candidates[0], candidates[10]}, "a", later)[0]).To(Equal(candidates[0].Address))
}

// TestCutOffNodesCoordinateNoService checks who coordinates services while nodes reach no backend. Other roles need none.
func TestCutOffNodesCoordinateNoService(t *testing.T) {
	g := NewWithT(t)
	cutOff, reaching := tunnelNode(2, "a", ownCapabilities()), tunnelNode(3, "a", ownCapabilities())
	cutOff.cutOff = true
	own := tunnelNode(1, "a", ownCapabilities())
	view := func(own knownNode, others ...knownNode) *fleetView {
		return newFleetView(fleetInputs{own: own, registered: true, nodeCount: 3, others: others, isResponsive: func(string) bool { return true }})
	}
	g.Expect(view(own, cutOff, reaching).candidates[capabilityServices]).To(ConsistOf(own.Node, reaching.Node))
	g.Expect(view(own, cutOff, reaching).candidates[capabilityQuotas]).To(ConsistOf(own.Node, cutOff.Node, reaching.Node))
	own.cutOff, reaching.cutOff = true, true
	g.Expect(view(own, cutOff, reaching).candidates[capabilityServices]).To(HaveLen(3), "nobody else is left")
}

// TestCutOffEndsWithTheStartThatAnnouncedIt starts a node again that had announced that it reaches no backend.
func TestCutOffEndsWithTheStartThatAnnouncedIt(t *testing.T) {
	g := NewWithT(t)
	var list nodeList
	start := func(number int) {
		spec := fmt.Sprintf(`{"address":"10.0.0.2:7000","zone":"a","started":%d,"abilities":["services"]}`, number)
		g.Expect(list.apply(replica.Record{Object: objectapi.Object{Kind: kindNode, Name: "n", Spec: []byte(spec)}})).To(Succeed())
	}
	start(1)
	list.setCutOff("n", cutOffSpec{Incarnation: "1", CutOff: true})
	node, _ := list.named("n")
	g.Expect(node.cutOff).To(BeTrue())
	g.Expect(list.others("")[0].cutOff).To(BeTrue())
	start(2)
	node, _ = list.named("n")
	g.Expect(node.cutOff).To(BeFalse())
	start(1)
	list.setCutOff("n", cutOffSpec{Incarnation: "1"})
	node, _ = list.named("n")
	g.Expect(node.cutOff).To(BeFalse())
}

// TestWithdrawnNodeIsRemembered checks that a node that has withdrawn is known for as long as it may drain, and no longer
// once it is registered again.
func TestWithdrawnNodeIsRemembered(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	list := nodeList{now: func() time.Time { return now }}
	object := objectapi.Object{Kind: kindNode, Name: "n", Spec: []byte(`{"address":"10.0.0.2:7000","zone":"a","started":1,"abilities":["tunnels"]}`)}
	g.Expect(list.apply(replica.Record{Object: object})).To(Succeed())
	g.Expect(list.withdrawn(capabilityTunnels)).To(BeEmpty())
	g.Expect(list.apply(replica.Record{Object: objectapi.Object{Kind: kindNode, Name: "n"}, Deleted: true})).To(Succeed())
	g.Expect(list.withdrawn(capabilityTunnels)).To(HaveLen(1))
	g.Expect(list.withdrawn(capabilityQuotas)).To(BeEmpty())
	g.Expect(list.apply(replica.Record{Object: object})).To(Succeed())
	g.Expect(list.withdrawn(capabilityTunnels)).To(BeEmpty())
	g.Expect(list.apply(replica.Record{Object: objectapi.Object{Kind: kindNode, Name: "n"}, Deleted: true})).To(Succeed())
	now = now.Add(withdrawnLifetime + time.Millisecond)
	g.Expect(list.withdrawn(capabilityTunnels)).To(BeEmpty())
}

// TestZonesWithoutBackendsAreAskedLast has two nodes of the own zone fail to open a tunnel, or announce that they are cut off: of the
// nodes that are asked, at most one may be of that zone, and it comes after one of each other zone.
func TestZonesWithoutBackendsAreAskedLast(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	nodes := tunnelNodes{pausedUntil: map[string]time.Time{}}
	const zones, nodesPerZone = 4, 15
	var candidates []knownNode
	for i := range zones * nodesPerZone {
		candidates = append(candidates, tunnelNode(i, fmt.Sprintf("zone-%d", i/nodesPerZone), nil))
	}
	zoneOf := map[string]string{}
	for _, node := range candidates {
		zoneOf[node.Address] = node.zone
	}
	asked := nodes.order(candidates, "zone-0", now)
	g.Expect(zoneOf[asked[0]]).To(Equal("zone-0"), "bytes within a zone cost less")
	askedZones := map[string]bool{}
	for _, node := range asked[:zones] {
		askedZones[zoneOf[node]] = true
	}
	g.Expect(askedZones).To(HaveLen(zones))

	nodes.pause(candidates[3].Address, now)
	candidates[4].cutOff = true
	for range 100 {
		asked = nodes.order(candidates, "zone-0", now)
		for _, node := range asked[:zones-1] {
			g.Expect(zoneOf[node]).NotTo(Equal("zone-0"))
		}
		g.Expect(asked).NotTo(ContainElement(candidates[4].Address))
	}
}
