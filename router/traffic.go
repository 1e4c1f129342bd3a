package router

import (
	"sync"

	"github.com/reelrun/reelrun/peer"
)

// nodeTraffic counts the bytes of calls to other nodes since the last summary, by kind of call,
// within the zone of this node and to other zones. It is safe for concurrent use.
type nodeTraffic struct {
	mu                   sync.Mutex
	sameZone, otherZones map[string]int
}

func (t *nodeTraffic) add(kind string, isSameZone bool, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sameZone == nil {
		t.sameZone, t.otherZones = map[string]int{}, map[string]int{}
	}
	if isSameZone {
		t.sameZone[kind] += bytes
		return
	}
	t.otherZones[kind] += bytes
}

// take returns the counts and resets them.
func (t *nodeTraffic) take() (sameZone, otherZones map[string]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameZone, otherZones = t.sameZone, t.otherZones
	t.sameZone, t.otherZones = nil, nil
	return sameZone, otherZones
}

// countCall counts a call to another node.
func (r *Router) countCall(call peer.CallSize) {
	isSameZone, bytes := r.isSameZone(call.Address), call.Sent+call.Received
	r.traffic.add(call.Kind, isSameZone, bytes)
	if !isSameZone {
		r.metrics.Add("node_bytes_between_zones", int64(bytes))
	}
}

// isSameZone reports whether a node is in the zone of this one. An unknown node is not.
func (r *Router) isSameZone(address string) bool {
	zone, known := r.nodes.zoneOf(address)
	return known && zone == r.options.Settings.Zone
}

// zoneOf returns the zone of the node at an address, or "" if it is not known.
func (r *Router) zoneOf(address string) string {
	if address == r.Own() {
		return r.options.Settings.Zone
	}
	zone, _ := r.nodes.zoneOf(address)
	return zone
}

// logTraffic logs the bytes of this node's calls to others since the last summary.
func (r *Router) logTraffic() {
	if sameZone, otherZones := r.traffic.take(); len(sameZone)+len(otherZones) > 0 {
		r.options.Logger.Info("node calls", "bytes_in_zone", sameZone, "bytes_between_zones", otherZones)
	}
}
