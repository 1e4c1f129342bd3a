package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// retryIntervals is the number of intervals between attempts to contact an
// unresponsive node.
const retryIntervals = 4

// Target is a node to exchange a heartbeat with.
type Target struct {
	Name    string
	Zone    string
	Address string
	// Join is set for a seed: zones that the table lacks must be fetched from it.
	Join bool
}

// Targets returns the nodes whose heartbeat is due, and records the attempt to
// contact them.
//
// Of each pair of nodes in a zone, the one with the lower name calls. The other
// one calls only if it has received no heartbeat for half an interval longer.
func (t *Table) Targets(now time.Time) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	remote := t.remoteTargets(now)
	var targets []Target
	for name, node := range t.contacts {
		if t.forget(now, name, node) {
			continue
		}
		own := node.member.Zone == t.self.Zone
		if (own || remote[name] || node.lastHeartbeat.IsZero()) && t.isDue(now, node) {
			node.lastAttempt = now
			targets = append(targets, Target{
				Name: name, Zone: node.member.Zone, Address: node.member.Address,
			})
		}
	}
	return targets
}

// remoteTargets returns the nodes of other zones with which this node exchanges
// heartbeats: their representatives if this node represents its own zone, or
// every known node of a zone that counts as unreachable.
func (t *Table) remoteTargets(now time.Time) map[string]bool {
	selected := map[string]bool{}
	if !t.ownZone(now).isRepresentative {
		return selected
	}
	for zone, view := range t.zones {
		if now.Sub(view.reportedAt) > t.options.ZoneTimeout {
			// Any node of the zone may become reachable first.
			t.selectZone(zone, selected)
			continue
		}
		for _, name := range t.representatives(zone, view.members) {
			selected[name] = true
			t.ensureContact(view.members, name)
		}
	}
	return selected
}

func (t *Table) ensureContact(members []Member, name string) {
	node, exists := t.contacts[name]
	for _, member := range members {
		if member.Name != name {
			continue
		}
		switch {
		case !exists:
			t.contacts[name] = &contact{member: Member{Name: name, Zone: member.Zone, Address: member.Address}}
		case node.member.Address != member.Address && node.member.Incarnation < member.Incarnation:
			node.member.Address = member.Address
		}
	}
}

func (t *Table) selectZone(zone string, selected map[string]bool) {
	for name, node := range t.contacts {
		if node.member.Zone == zone {
			selected[name] = true
		}
	}
}

func (t *Table) isDue(now time.Time, node *contact) bool {
	last := node.lastHeartbeat
	if node.lastAttempt.After(last) {
		last = node.lastAttempt
	}
	wait := t.options.Interval - t.options.Interval/8
	if !t.isLive(now, node) {
		wait = retryIntervals * t.options.Interval
	} else if t.self.Name > node.member.Name {
		wait += t.options.Interval / 2
	}
	return now.Sub(last) >= wait
}

// forget removes a node without heartbeats for the forget timeout.
func (t *Table) forget(now time.Time, name string, node *contact) bool {
	if node.lastHeartbeat.IsZero() || now.Sub(node.lastHeartbeat) <= t.options.ForgetTimeout {
		return false
	}
	delete(t.contacts, name)
	return true
}

// RemoteContacts returns the live nodes of other zones with which this node
// exchanges heartbeats.
func (t *Table) RemoteContacts(now time.Time) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []Target
	for name := range t.remoteTargets(now) {
		node, ok := t.contacts[name]
		if ok && t.isLive(now, node) {
			targets = append(targets, Target{Name: name, Zone: node.member.Zone, Address: node.member.Address})
		}
	}
	return targets
}

// HasLiveAddress reports whether there is a live contact at the address.
func (t *Table) HasLiveAddress(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range t.contacts {
		if node.member.Address == address && t.isLive(now, node) {
			return true
		}
	}
	return false
}

// IsRepresentative reports whether the node is a representative of its zone. A
// node without live contacts in its zone always is one.
func (t *Table) IsRepresentative(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownZone(now).isRepresentative
}

// ZonesDigest returns a digest of the names of the reachable zones.
func (t *Table) ZonesDigest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zonesDigest(now)
}

// zonesDigest is ZonesDigest; mu must be held.
func (t *Table) zonesDigest(now time.Time) uint64 {
	names := []string{t.self.Zone}
	for zone, view := range t.zones {
		if now.Sub(view.reportedAt) <= t.options.ZoneTimeout {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return xxhash.Sum64String(strings.Join(names, "/"))
}

// LiveRepresentatives returns the live representatives of all zones, and the
// live contacts in the named zone: while that zone starts, its nodes may have
// contact with the same node of another zone and not yet with each other.
func (t *Table) LiveRepresentatives(now time.Time, contactZone string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	selected := t.representativeMembers(t.self.Zone, t.ownZone(now).members)
	for _, node := range t.contacts {
		if node.member.Zone == contactZone && contactZone != t.self.Zone && t.isLive(now, node) {
			selected = append(selected, node.member)
		}
	}
	for zone, view := range t.zones {
		if now.Sub(view.reportedAt) <= t.options.ZoneTimeout {
			selected = append(selected, t.representativeMembers(zone, view.members)...)
		}
	}
	return selected
}

func (t *Table) representativeMembers(zone string, members []Member) []Member {
	names := t.representatives(zone, members)
	var selected []Member
	for _, member := range members {
		if slices.Contains(names, member.Name) {
			selected = append(selected, member)
		}
	}
	return selected
}

// zoneDiscoveryIntervals is the number of intervals between two requests to one
// zone for the zones that it knows.
const zoneDiscoveryIntervals = 4

// NeedsZoneDiscovery reports whether a node of another zone must be asked for
// the zones that it knows: its digest of them differs, or this node has no live
// contact in its own zone. The result is true at most once per
// zoneDiscoveryIntervals for each zone.
func (t *Table) NeedsZoneDiscovery(now time.Time, zone string, digest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	view, known := t.zones[zone]
	if !known || digest == 0 {
		return false
	}
	own := t.ownZone(now)
	if !own.isRepresentative || (digest == t.zonesDigest(now) && len(own.members) > 1) {
		return false
	}
	if now.Sub(view.zonesRequestedAt) < zoneDiscoveryIntervals*t.options.Interval {
		return false
	}
	view.zonesRequestedAt = now
	return true
}

// AddHints remembers the given nodes of the own zone and of unreachable zones as
// nodes to contact.
func (t *Table) AddHints(now time.Time, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unreachable []Member
	for _, member := range members {
		view, known := t.zones[member.Zone]
		if !known || now.Sub(view.reportedAt) > t.options.ZoneTimeout {
			unreachable = append(unreachable, member)
		}
	}
	t.addHints(unreachable)
}

// ZonesToFetch returns the zones whose members must be fetched from a node of
// the given zone: that zone, if there is no view of it, and the own zone, if
// there is no live contact in it or the node is in it.
func (t *Table) ZonesToFetch(now time.Time, zone string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var missing []string
	if _, known := t.zones[zone]; !known && zone != t.self.Zone {
		missing = append(missing, zone)
	}
	if len(t.ownZone(now).members) == 1 || zone == t.self.Zone {
		missing = append(missing, t.self.Zone)
	}
	return missing
}
