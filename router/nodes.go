package router

import (
	"encoding/json"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/retrybudget"
)

// knownNode is a node as its object tells of it.
type knownNode struct {
	coordinator.Node
	zone     string
	capacity float64
	// linkBytes is what its link carries, in bytes a second; zero if it is not known.
	linkBytes float64
	// addressHash is that of the address, by which nodes with equal links are ordered.
	addressHash uint64
	// abilities are the roles that its build can take.
	abilities abilitySet
}

// nodeList holds the nodes that have an object, decoded once. It is safe for
// concurrent use.
type nodeList struct {
	mu     sync.RWMutex
	byName map[string]knownNode
	// zones are those of the nodes by their addresses.
	zones map[string]string
	// builds are the commits of the nodes' builds by the names of their objects; empty where a node
	// does not say. They are beside the nodes, whose descriptions are copied at each choice.
	builds map[string]string
	// changeCount counts what was taken.
	changeCount uint64
}

// hashOf is the hash of an address by which nodes are ordered.
func hashOf(address string) uint64 { return xxhash.Sum64String(address) }

// changes counts the changes of the list so far.
func (l *nodeList) changes() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changeCount
}

// take puts a newer version of a node's object into the list.
func (l *nodeList) take(record replica.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changeCount++
	if l.byName == nil {
		l.byName, l.zones, l.builds = map[string]knownNode{}, map[string]string{}, map[string]string{}
	}
	if record.Deleted {
		delete(l.byName, record.Object.Name)
		delete(l.builds, record.Object.Name)
		return nil
	}
	spec, err := decodeNode(record.Object.Spec)
	if err != nil {
		// Another writer may have made the entry, or spoilt it: it names no node.
		delete(l.byName, record.Object.Name)
		return err
	}
	l.byName[record.Object.Name] = knownNode{
		Node: coordinator.Node{Address: spec.Address, Incarnation: strconv.FormatInt(spec.Started, 10)},
		zone: spec.Zone, capacity: spec.Capacity, linkBytes: spec.LinkBytes, addressHash: hashOf(spec.Address), abilities: abilitiesOf(spec.Abilities),
	}
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
	return node, found
}

// zoneOf returns the zone of the node at an address. One that is gone keeps its zone: whoever comes
// to its address is as far away.
func (l *nodeList) zoneOf(address string) (zone string, known bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	zone, known = l.zones[address]
	return zone, known
}

// others returns the nodes at other addresses than the given one.
func (l *nodeList) others(own string) []knownNode {
	l.mu.RLock()
	defer l.mu.RUnlock()
	others := make([]knownNode, 0, len(l.byName))
	for _, node := range l.byName {
		if node.Address != own && node.Address != "" {
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

// countOtherBuilds returns how many nodes run another build than the given one.
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

// able returns the nodes whose builds have an ability, by name.
func (l *nodeList) able(wanted ability) []retrybudget.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var able []retrybudget.Member
	for _, name := range slices.Sorted(maps.Keys(l.byName)) {
		if node := l.byName[name]; node.isAble(wanted) {
			able = append(able, retrybudget.Member{Name: name, Incarnation: node.Incarnation})
		}
	}
	return able
}

func (l *nodeList) count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.byName)
}
