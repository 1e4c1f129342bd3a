package router

import (
	"cmp"
	"slices"
	"sync"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/settings"
)

// bridgesPerZone is how many nodes of a zone exchange objects with other zones. All others have them
// from their neighbours. With one or two, the loss of a machine would part a zone until that is known.
const bridgesPerZone = 4

// fleetView is what this node knows of the fleet at a moment. It is read only, and computed once for
// many decisions: in a fleet of a thousand nodes each of them would look at all nodes otherwise.
type fleetView struct {
	// others are the other nodes that are known, and addresses theirs.
	others    []knownNode
	addresses []string
	// responsiveCount is how many nodes answer, this one included, and position that of this one among
	// them, in the order in which they follow the store.
	responsiveCount, position int
	// watchers are the other nodes that follow the store: the first of those that answer.
	watchers []knownNode
	// bridges are the first nodes of each zone that answer, this one perhaps among them.
	bridges map[string][]knownNode
	// candidates are the nodes that may coordinate, by what their builds must be able to do.
	candidates map[ability][]coordinator.Node
}

// fleetSources is what a view is computed from.
type fleetSources struct {
	own knownNode
	// registered is set while the own object is in the store.
	registered bool
	others     []knownNode
	// nodeCount is how many nodes are known, this one included.
	nodeCount int
	// isResponsive reports whether the node at an address answers.
	isResponsive func(address string) bool
}

// newFleetView computes a view, with one look at each node.
func newFleetView(from fleetSources) *fleetView {
	view := &fleetView{
		others: from.others, addresses: make([]string, len(from.others)),
		bridges: map[string][]knownNode{}, candidates: map[ability][]coordinator.Node{},
	}
	var heard []knownNode
	if from.registered {
		heard = append(heard, from.own)
	}
	view.addBridge(from.own)
	for i, node := range from.others {
		view.addresses[i] = node.Address
		if !from.isResponsive(node.Address) {
			continue
		}
		heard = append(heard, node)
		view.responsiveCount++
		if compareWatchers(node, from.own) < 0 {
			view.position++
		}
		view.watchers = withFirst(view.watchers, node, maxWatchers)
		view.addBridge(node)
	}
	view.responsiveCount++
	if 2*len(heard) >= from.nodeCount {
		for _, wanted := range ownAbilities() {
			view.candidates[wanted] = strongest(heard, wanted)
		}
	}
	return view
}

// addBridge takes a node into account that answers. One whose zone is not known is no bridge.
func (v *fleetView) addBridge(node knownNode) {
	if node.zone != "" {
		v.bridges[node.zone] = withFirst(v.bridges[node.zone], node, bridgesPerZone)
	}
}

// withFirst adds a node to a list of the first ones, of which at most so many are kept.
func withFirst(first []knownNode, node knownNode, most int) []knownNode {
	at, _ := slices.BinarySearchFunc(first, node, compareWatchers)
	if at >= most {
		return first
	}
	first = slices.Insert(first, at, node)
	return first[:min(len(first), most)]
}

// isBridge reports whether a node is among the bridges of a zone.
func (v *fleetView) isBridge(zone, address string) bool {
	return slices.ContainsFunc(v.bridges[zone], func(node knownNode) bool { return node.Address == address })
}

// strongest returns the nodes with an ability, but for those that are much weaker than the strongest.
func strongest(heard []knownNode, wanted ability) []coordinator.Node {
	greatest := 0.0
	for _, node := range heard {
		if node.isAble(wanted) {
			greatest = max(greatest, node.capacity)
		}
	}
	var strong []coordinator.Node
	for _, node := range heard {
		if node.isAble(wanted) && node.capacity >= strongShare*greatest {
			strong = append(strong, node.Node)
		}
	}
	return strong
}

// compareWatchers orders nodes: those with the widest links follow the store first, because it
// sends objects whole, whatever changed in them. Among equals a hash of their addresses decides,
// so that the zones mix.
func compareWatchers(a, b knownNode) int {
	return cmp.Or(cmp.Compare(b.linkBytes, a.linkBytes), cmp.Compare(a.addressHash, b.addressHash))
}

// fleetViewVersion tells whether a view still holds.
type fleetViewVersion struct {
	nodes, contacts uint64
	// settings have the seeds, which count while no node is known.
	settings *settings.Router
}

// heldFleetView keeps the newest view. It is safe for concurrent use.
type heldFleetView struct {
	mu      sync.Mutex
	view    *fleetView
	version fleetViewVersion
}

// get returns the view of a version, computed anew where the kept one is of another.
func (h *heldFleetView) get(version fleetViewVersion, compute func() *fleetView) *fleetView {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.view == nil || h.version != version {
		h.view, h.version = compute(), version
	}
	return h.view
}

// fleet returns what this node knows of the fleet now.
func (r *Router) fleet() *fleetView {
	version := fleetViewVersion{nodes: r.nodes.changes(), contacts: r.syncer.ResponsivenessChanges(), settings: r.settings.Load()}
	return r.view.get(version, func() *fleetView {
		own, registered := r.ownNode()
		if !registered {
			own = ownDescription(r.options.Settings)
		}
		return newFleetView(fleetSources{
			own: own, registered: registered, others: r.otherNodes(), nodeCount: r.nodeCount(), isResponsive: r.syncer.Responsive,
		})
	})
}

// ownDescription describes this node as far as the order of watchers and bridges goes, while its object
// is not in the store.
func ownDescription(own *settings.Router) knownNode {
	described := knownNode{Node: coordinator.Node{Address: own.PeerAddress}, zone: own.Zone, linkBytes: own.LinkBytes}
	described.addressHash = hashOf(own.PeerAddress)
	return described
}
