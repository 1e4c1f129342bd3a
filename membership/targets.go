package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// retryFactor is how many intervals pass between tries of a silent node.
const retryFactor = 4

// Target is a node to exchange a heartbeat with.
type Target struct {
	Name    string
	Zone    string
	Address string
	// Join states that the node is a seed, of which what the table lacks is to be
	// fetched.
	Join bool
}

// Targets returns the nodes whose heartbeat is due and marks them as tried.
//
// Of each pair in a zone the node with the lower name calls; the other one
// steps in when the pair has been silent for longer.
func (t *Table) Targets(now time.Time) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	remote := t.remoteTargets(now)
	var targets []Target
	for name, known := range t.contacts {
		if t.forget(now, name, known) {
			continue
		}
		own := known.member.Zone == t.self.Zone
		if (own || remote[name] || known.heard.IsZero()) && t.due(now, known) {
			known.tried = now
			targets = append(targets, Target{
				Name: name, Zone: known.member.Zone, Address: known.member.Address,
			})
		}
	}
	return targets
}

// remoteTargets returns the nodes of other zones with which this node exchanges
// heartbeats: their representatives if this node is one of its zone's, or any
// known node of a zone that has not been heard of.
func (t *Table) remoteTargets(now time.Time) map[string]bool {
	selected := map[string]bool{}
	if !t.ownZone(now).speaks {
		return selected
	}
	for zone, view := range t.zones {
		if now.Sub(view.heard) > t.options.ZoneTimeout {
			// Nobody there answers; any node of the zone may be back first.
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
	known, exists := t.contacts[name]
	for _, member := range members {
		if member.Name != name {
			continue
		}
		switch {
		case !exists:
			t.contacts[name] = &contact{member: Member{Name: name, Zone: member.Zone, Address: member.Address}}
		case known.member.Address != member.Address && known.member.Incarnation < member.Incarnation:
			known.member.Address = member.Address
		}
	}
}

func (t *Table) selectZone(zone string, selected map[string]bool) {
	for name, known := range t.contacts {
		if known.member.Zone == zone {
			selected[name] = true
		}
	}
}

func (t *Table) due(now time.Time, known *contact) bool {
	last := known.heard
	if known.tried.After(last) {
		last = known.tried
	}
	wait := t.options.Interval - t.options.Interval/8
	if !t.isLive(now, known) {
		wait = retryFactor * t.options.Interval
	} else if t.self.Name > known.member.Name {
		wait += t.options.Interval / 2
	}
	return now.Sub(last) >= wait
}

// forget drops a node that has been silent for too long.
func (t *Table) forget(now time.Time, name string, known *contact) bool {
	if known.heard.IsZero() || now.Sub(known.heard) <= t.options.ForgetTimeout {
		return false
	}
	delete(t.contacts, name)
	return true
}

// RemoteContacts returns the live nodes of other zones that this node exchanges
// heartbeats with.
func (t *Table) RemoteContacts(now time.Time) []Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []Target
	for name := range t.remoteTargets(now) {
		known, ok := t.contacts[name]
		if ok && t.isLive(now, known) {
			targets = append(targets, Target{Name: name, Zone: known.member.Zone, Address: known.member.Address})
		}
	}
	return targets
}

// HearsAddress reports whether a live node answers at the address.
func (t *Table) HearsAddress(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.contacts {
		if known.member.Address == address && t.isLive(now, known) {
			return true
		}
	}
	return false
}

// Represents reports whether the node speaks for its zone. One that hears no
// other node of its zone does.
func (t *Table) Represents(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownZone(now).speaks
}

// ZonesDigest returns a digest of the names of the zones that are heard of.
func (t *Table) ZonesDigest(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.zonesDigest(now)
}

// zonesDigest returns a digest of the names of the zones that are heard of.
func (t *Table) zonesDigest(now time.Time) uint64 {
	names := []string{t.self.Zone}
	for zone, view := range t.zones {
		if now.Sub(view.heard) <= t.options.ZoneTimeout {
			names = append(names, zone)
		}
	}
	slices.Sort(names)
	return xxhash.Sum64String(strings.Join(names, "/"))
}

// Speakers returns the live members that speak for their zones, and those of the
// named zone that this node has heard itself: when a zone starts, its nodes may
// know the same node of another zone and not yet each other.
func (t *Table) Speakers(now time.Time, heardIn string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	speaking := t.speakersOf(t.self.Zone, t.ownZone(now).members)
	for _, known := range t.contacts {
		if known.member.Zone == heardIn && heardIn != t.self.Zone && t.isLive(now, known) {
			speaking = append(speaking, known.member)
		}
	}
	for zone, view := range t.zones {
		if now.Sub(view.heard) <= t.options.ZoneTimeout {
			speaking = append(speaking, t.speakersOf(zone, view.members)...)
		}
	}
	return speaking
}

func (t *Table) speakersOf(zone string, members []Member) []Member {
	names := t.representatives(zone, members)
	var speaking []Member
	for _, member := range members {
		if slices.Contains(names, member.Name) {
			speaking = append(speaking, member)
		}
	}
	return speaking
}

// zonesRetry is how many intervals pass between two questions to one zone for the
// zones that it hears of.
const zonesRetry = 4

// MissesZones reports whether a node of another zone is to be asked for the zones
// that it hears of: it hears of other ones, or this node is alone in its zone. It
// is true once in a few intervals for each zone.
func (t *Table) MissesZones(now time.Time, zone string, digest uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	view, known := t.zones[zone]
	if !known || digest == 0 {
		return false
	}
	own := t.ownZone(now)
	if !own.speaks || (digest == t.zonesDigest(now) && len(own.members) > 1) {
		return false
	}
	if now.Sub(view.askedForZones) < zonesRetry*t.options.Interval {
		return false
	}
	view.askedForZones = now
	return true
}

// AddHints remembers nodes of the own zone and of zones that are not heard of, to
// try them.
func (t *Table) AddHints(now time.Time, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unheard []Member
	for _, member := range members {
		view, known := t.zones[member.Zone]
		if !known || now.Sub(view.heard) > t.options.ZoneTimeout {
			unheard = append(unheard, member)
		}
	}
	t.addHints(unheard)
}

// Lacking returns the zones whose members are to be fetched from a node of the
// given zone: that zone, if there is no view of it, and the own zone, if no other
// node of it is heard.
func (t *Table) Lacking(now time.Time, zone string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var lacking []string
	if _, known := t.zones[zone]; !known && zone != t.self.Zone {
		lacking = append(lacking, zone)
	}
	if len(t.ownZone(now).members) == 1 || zone == t.self.Zone {
		lacking = append(lacking, t.self.Zone)
	}
	return lacking
}
