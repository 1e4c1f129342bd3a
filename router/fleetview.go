package router

import (
	"cmp"
	"slices"
	"sync"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/settings"
)

// relaysPerZone is the number of zone relays of a zone: nodes that exchange objects with other zones.
// The other nodes receive objects from nodes of their own zone. With one or two relays, the loss of a
// machine would partition a zone until it is detected.
const relaysPerZone = 4

// fleetView is what this node knows of the fleet at one moment. It is read-only, and computed once for
// many decisions: otherwise each decision would iterate over all nodes, and a fleet may have a thousand.
type fleetView struct {
	// others are the other known nodes, and addresses their addresses.
	others    []knownNode
	addresses []string
	// responsiveCount is the number of responsive nodes, including this one, and position the rank of this
	// one among them in the order in which they watch the store.
	responsiveCount, position int
	// watchers are the other nodes that watch the store: the first responsive nodes in that order.
	watchers []knownNode
	// zoneRelays are the first responsive nodes of each zone, possibly including this one.
	zoneRelays map[string][]knownNode
	// tunnelNodeCount is the number of other responsive nodes that can open tunnels to backends.
	tunnelNodeCount int
	// candidates are the nodes that may coordinate, by the capability that this requires.
	candidates map[capability][]coordinator.Node
}

// fleetInputs are the data from which a view is computed.
type fleetInputs struct {
	own knownNode
	// registered is set while the node's own object is in the store.
	registered bool
	others     []knownNode
	// nodeCount is the number of known nodes, including this one.
	nodeCount int
	// isResponsive reports whether the node at an address is responsive.
	isResponsive func(address string) bool
}

// newFleetView computes a view in one pass over the nodes.
func newFleetView(inputs fleetInputs) *fleetView {
	view := &fleetView{
		others: inputs.others, addresses: make([]string, len(inputs.others)),
		zoneRelays: map[string][]knownNode{}, candidates: map[capability][]coordinator.Node{},
	}
	var responsive []knownNode
	if inputs.registered {
		responsive = append(responsive, inputs.own)
	}
	view.addZoneRelay(inputs.own)
	for i, node := range inputs.others {
		view.addresses[i] = node.Address
		if !inputs.isResponsive(node.Address) {
			continue
		}
		responsive = append(responsive, node)
		view.responsiveCount++
		if compareWatchers(node, inputs.own) < 0 {
			view.position++
		}
		view.watchers = insertRanked(view.watchers, node, maxWatchers)
		view.addZoneRelay(node)
		if node.hasCapability(capabilityTunnels) {
			view.tunnelNodeCount++
		}
	}
	view.responsiveCount++
	if 2*len(responsive) >= inputs.nodeCount {
		for _, required := range ownCapabilities() {
			eligible := responsive
			if required == capabilityServices {
				// Who coordinates a service decides by what its backends report.
				eligible = reachingBackends(responsive)
			}
			view.candidates[required] = strongest(eligible, required)
		}
	}
	return view
}

// tunnelNodes returns the other responsive nodes that can open tunnels to backends. They are not part of the view, because
// it is computed often, and tunnels are rare.
func (v *fleetView) tunnelNodes(isResponsive func(address string) bool) []knownNode {
	var able []knownNode
	for _, node := range v.others {
		if node.hasCapability(capabilityTunnels) && isResponsive(node.Address) {
			able = append(able, node)
		}
	}
	return able
}

// addZoneRelay adds a responsive node to the zone relays if it ranks high enough. A node whose zone is
// not known is no zone relay.
func (v *fleetView) addZoneRelay(node knownNode) {
	if node.zone != "" {
		v.zoneRelays[node.zone] = insertRanked(v.zoneRelays[node.zone], node, relaysPerZone)
	}
}

// insertRanked inserts a node into a ranked list and drops the nodes beyond the limit.
func insertRanked(ranked []knownNode, node knownNode, limit int) []knownNode {
	position, _ := slices.BinarySearchFunc(ranked, node, compareWatchers)
	if position >= limit {
		return ranked
	}
	ranked = slices.Insert(ranked, position, node)
	return ranked[:min(len(ranked), limit)]
}

// isZoneRelay reports whether a node is a zone relay of a zone.
func (v *fleetView) isZoneRelay(zone, address string) bool {
	return slices.ContainsFunc(v.zoneRelays[zone], func(node knownNode) bool { return node.Address == address })
}

// strongest returns the nodes with a capability, except those with much less processor capacity than
// the strongest.
func strongest(responsive []knownNode, required capability) []coordinator.Node {
	greatest := 0.0
	for _, node := range responsive {
		if node.hasCapability(required) {
			greatest = max(greatest, node.capacity)
		}
	}
	var strong []coordinator.Node
	for _, node := range responsive {
		if node.hasCapability(required) && node.capacity >= minCapacityShare*greatest {
			strong = append(strong, node.Node)
		}
	}
	return strong
}

// compareWatchers ranks nodes: those with the widest links watch the store first, because the store
// sends a whole object for each change of it. Nodes with equal links are ranked by a hash of their
// addresses, which mixes the zones.
func compareWatchers(a, b knownNode) int {
	return cmp.Or(cmp.Compare(b.linkBytes, a.linkBytes), cmp.Compare(a.addressHash, b.addressHash))
}

// fleetViewVersion identifies the state from which a view was computed.
type fleetViewVersion struct {
	nodes, contacts uint64
	// settings contain the seeds, which are used while no node is known.
	settings *settings.Router
}

// cachedFleetView holds the latest view. It is safe for concurrent use.
type cachedFleetView struct {
	mu      sync.Mutex
	view    *fleetView
	version fleetViewVersion
}

// get returns the view of a version, and computes it if the cached one has another version.
func (c *cachedFleetView) get(version fleetViewVersion, compute func() *fleetView) *fleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil || c.version != version {
		c.view, c.version = compute(), version
	}
	return c.view
}

// fleet returns the current view of the fleet.
func (r *Router) fleet() *fleetView {
	version := fleetViewVersion{nodes: r.nodes.changes(), contacts: r.syncer.ResponsivenessChanges(), settings: r.settings.Load()}
	return r.view.get(version, func() *fleetView {
		own, registered := r.ownNode()
		if !registered {
			own = ownDescription(r.options.Settings)
		}
		return newFleetView(fleetInputs{
			own: own, registered: registered, others: r.otherNodes(), nodeCount: r.nodeCount(), isResponsive: r.syncer.Responsive,
		})
	})
}

// ownDescription describes this node for the ranking of watchers and zone relays while its object is
// not in the store.
func ownDescription(own *settings.Router) knownNode {
	described := knownNode{Node: coordinator.Node{Address: own.PeerAddress}, zone: own.Zone, linkBytes: own.LinkBytes}
	described.addressHash = hashOf(own.PeerAddress)
	return described
}
