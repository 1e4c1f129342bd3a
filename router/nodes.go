package router

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/retrybudget"
)

// knownNode is a node as described by its object.
type knownNode struct {
	coordinator.Node
	zone     string
	capacity float64
	// linkBytes is the capacity of its link in bytes a second; zero if it is not known.
	linkBytes float64
	// addressHash is the hash of the address, by which nodes with equal links are ranked.
	addressHash uint64
	// capabilities are the roles that its build can take.
	capabilities capabilitySet
	// cutOff is set while the node reaches no backend.
	cutOff bool
}

// nodeList holds the nodes that have an object, in decoded form. It is safe for concurrent use.
type nodeList struct {
	mu     sync.RWMutex
	byName map[string]knownNode
	// zones holds the zones of nodes by address.
	zones map[string]string
	// builds holds the commits of the nodes' builds by object name, or "" if a node does not report
	// it. They are not part of knownNode because that is copied for each decision.
	builds map[string]string
	// cutOffStarts holds, by name, the start of each node that has announced that it reaches no backend.
	cutOffStarts map[string]string
	// withdrawnNodes are the nodes whose objects were removed within withdrawnLifetime, by object name.
	withdrawnNodes map[string]withdrawnNode
	// now is the clock for withdrawnNodes; nil for time.Now.
	now func() time.Time
	// changeCount is the number of applied changes.
	changeCount uint64
}

// withdrawnNode is a node without an object, and when the object was removed.
type withdrawnNode struct {
	knownNode
	at time.Time
}

// withdrawnLifetime is how long a node is remembered after its object was removed: nodes that stop as planned remove their
// objects first and drain for a grace period of some seconds.
const withdrawnLifetime = 10 * time.Second

// withdrawn returns the nodes with a capability that have withdrawn within withdrawnLifetime.
func (l *nodeList) withdrawn(required capability) []knownNode {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var withdrawn []knownNode
	for _, node := range l.withdrawnNodes {
		if node.hasCapability(required) && l.clock().Sub(node.at) <= withdrawnLifetime {
			withdrawn = append(withdrawn, node.knownNode)
		}
	}
	return withdrawn
}

func (l *nodeList) clock() time.Time {
	if l.now == nil {
		return time.Now()
	}
	return l.now()
}

// withdraw remembers a node whose object is removed; the lock is held.
func (l *nodeList) withdraw(name string) {
	now := l.clock()
	maps.DeleteFunc(l.withdrawnNodes, func(_ string, node withdrawnNode) bool { return now.Sub(node.at) > withdrawnLifetime })
	if node, known := l.byName[name]; known {
		l.withdrawnNodes[name] = withdrawnNode{node, now}
	}
}

// hashOf returns the hash of an address by which nodes are ranked.
func hashOf(address string) uint64 { return xxhash.Sum64String(address) }

// changes returns the number of changes so far.
func (l *nodeList) changes() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changeCount
}

// apply applies a newer version of a node's object.
func (l *nodeList) apply(record replica.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeCount++
	if l.byName == nil {
		l.byName, l.zones, l.builds = map[string]knownNode{}, map[string]string{}, map[string]string{}
		l.withdrawnNodes = map[string]withdrawnNode{}
	}
	if record.Deleted {
		l.withdraw(record.Object.Name)
		delete(l.byName, record.Object.Name)
		delete(l.builds, record.Object.Name)
		return nil
	}
	spec, err := decodeNode(record.Object.Spec)
	if err != nil {
		// Another writer may have created or corrupted the object: it describes no node.
		delete(l.byName, record.Object.Name)
		return err
	}
	l.byName[record.Object.Name] = knownNode{
		Node: coordinator.Node{Address: spec.Address, Incarnation: strconv.FormatInt(spec.Started, 10)},
		zone: spec.Zone, capacity: spec.Capacity, linkBytes: spec.LinkBytes, addressHash: hashOf(spec.Address), capabilities: capabilitiesOf(spec.Capabilities),
	}
	delete(l.withdrawnNodes, record.Object.Name)
	l.builds[record.Object.Name] = spec.Build
	l.zones[spec.Address] = spec.Zone
	return nil
}

// decodeNode decodes the content of a node's object.
func decodeNode(encoded json.RawMessage) (nodeSpec, error) {
	var spec nodeSpec
	if err := json.Unmarshal(encoded, &spec); err != nil {
		return nodeSpec{}, errors.Wrap(err, "decode node")
	}
	if _, err := netip.ParseAddrPort(spec.Address); err != nil {
		return nodeSpec{}, errors.Newf("address %q is not an IP address and port", spec.Address)
	}
	if spec.Capacity < 0 || spec.LinkBytes < 0 {
		return nodeSpec{}, errors.Newf("capacity %v and link %v must not be negative", spec.Capacity, spec.LinkBytes)
	}
	return spec, nil
}

// named returns a node by the name of its object.
func (l *nodeList) named(name string) (knownNode, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	node, found := l.byName[name]
	node.cutOff = l.isCutOff(name, node.Node)
	return node, found
}

// zoneOf returns the zone of the node at an address. The zone is kept when a node is removed: a new
// node at the same address is in the same zone.
func (l *nodeList) zoneOf(address string) (zone string, known bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	zone, known = l.zones[address]
	return zone, known
}

// others returns the nodes at addresses other than the given one.
func (l *nodeList) others(own string) []knownNode {
	l.mu.RLock()
	defer l.mu.RUnlock()
	others := make([]knownNode, 0, len(l.byName))
	for name, node := range l.byName {
		if node.Address != own && node.Address != "" {
			node.cutOff = l.isCutOff(name, node.Node)
			others = append(others, node)
		}
	}
	return others
}

// buildOf returns the commit of a node's build.
func (l *nodeList) buildOf(name string) string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.builds[name]
}

// countOtherBuilds returns the number of nodes that run a build other than the given one.
func (l *nodeList) countOtherBuilds(own string) int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	others := 0
	for name := range l.byName {
		if l.builds[name] != own {
			others++
		}
	}
	return others
}

// withCapability returns the nodes whose builds have a capability, sorted by name.
func (l *nodeList) withCapability(required capability) []retrybudget.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var members []retrybudget.Member
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		if node := l.byName[name]; node.hasCapability(required) {
			members = append(members, retrybudget.Member{Name: name, Incarnation: node.Incarnation})
		}
	}
	return members
}

func (l *nodeList) count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.byName)
}
