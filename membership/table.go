package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

// Options are the intervals of the membership protocol.
type Options struct {
	// Interval is the time between heartbeats of a pair. Default 1s.
	Interval time.Duration
	// FailureTimeout is the silence after which a member of the own zone counts
	// as gone. Default 3s.
	FailureTimeout time.Duration
	// ZoneTimeout is the silence after which another zone counts as unreachable.
	// Default 6s.
	ZoneTimeout time.Duration
	// ForgetTimeout is how long a lost member is still tried. Default 10m.
	ForgetTimeout time.Duration
	// Representatives is the number of nodes that speak for a zone. Default 2.
	Representatives int
}

// SetDefaults fills the fields that are zero.
func (o *Options) SetDefaults() {
	defaultTo(&o.Interval, time.Second)
	defaultTo(&o.FailureTimeout, 3*o.Interval)
	defaultTo(&o.ZoneTimeout, 6*o.Interval)
	defaultTo(&o.ForgetTimeout, 10*time.Minute)
	if o.Representatives == 0 {
		o.Representatives = 2
	}
}

func defaultTo(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// contact is a node that has answered or sent a heartbeat itself.
type contact struct {
	member Member
	heard  time.Time
	tried  time.Time
}

// zoneView is what the representatives of another zone last reported.
type zoneView struct {
	members []Member
	digest  uint64
	heard   time.Time
	// askedForZones is when a node of the zone was last asked for the zones that
	// it hears of.
	askedForZones time.Time
}

// Table is a node's view of the live members. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	self     Member
	contacts map[string]*contact
	zones    map[string]*zoneView
	ticked   time.Time
	// own is the view of the own zone, or nil if it is to be made.
	own *ownZoneView
}

// NewTable returns the table of a node that knows only itself.
func NewTable(self Member, options Options) *Table {
	options.SetDefaults()
	return &Table{options: options, self: self, contacts: map[string]*contact{}, zones: map[string]*zoneView{}}
}

// Self returns the node itself.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// SetState changes the state that the node reports of itself.
func (t *Table) SetState(state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = state
	t.ownZoneChanged()
}

// Tick tells the table that the node is running. A node that was paused has
// heard nobody meanwhile, which says nothing about the others: their last
// heartbeats count as late by the length of the pause.
func (t *Table) Tick(now time.Time) (pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ticked.IsZero() {
		pause = now.Sub(t.ticked) - 2*t.options.Interval
	}
	t.ticked = now
	if pause <= 0 {
		return 0
	}
	t.ownZoneChanged()
	for _, known := range t.contacts {
		known.heard = known.heard.Add(pause)
	}
	for _, view := range t.zones {
		view.heard = view.heard.Add(pause)
	}
	return pause
}

// ObserveMember records first-hand news of a member. It reports whether the
// news is of the newest incarnation.
func (t *Table) ObserveMember(now time.Time, member Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if member.Name == "" || member.Name == t.self.Name {
		return false
	}
	known, ok := t.contacts[member.Name]
	if !ok {
		known = &contact{}
		t.contacts[member.Name] = known
	}
	if member.Incarnation < known.member.Incarnation {
		return false
	}
	if known.member != member || !t.isLive(now, known) {
		t.ownZoneChanged()
	}
	known.member = member
	known.heard = now
	return true
}

// ObserveDigests records what another node reports about the zones it speaks
// for, and returns the zones whose members must be fetched from it.
func (t *Table) ObserveDigests(now time.Time, digests []*peerpb.ZoneDigest) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	for _, digest := range digests {
		zone := digest.GetZone()
		if zone == t.self.Zone {
			continue
		}
		heard := now.Add(-time.Duration(digest.GetAgeMs()) * time.Millisecond)
		view, ok := t.zones[zone]
		if !ok || (view.digest != digest.GetDigest() && heard.After(view.heard)) {
			stale = append(stale, zone)
			continue
		}
		if view.digest == digest.GetDigest() && heard.After(view.heard) {
			view.heard = heard
		}
	}
	return stale
}

// ReplaceZone records the members of another zone as reported by a node that
// speaks for it, aged as the report was. Members of the own zone are only
// remembered as nodes to try.
func (t *Table) ReplaceZone(now time.Time, zone string, members []Member, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		t.addHints(members)
		return
	}
	sortMembers(members)
	replaced := &zoneView{members: members, digest: digestOf(members), heard: now.Add(-age)}
	if earlier, known := t.zones[zone]; known {
		replaced.askedForZones = earlier.askedForZones
	}
	t.zones[zone] = replaced
}

func (t *Table) addHints(members []Member) {
	for _, member := range members {
		if _, known := t.contacts[member.Name]; !known && member.Name != t.self.Name {
			// The incarnation is left out: only the node itself says which one lives.
			hint := Member{Name: member.Name, Zone: member.Zone, Address: member.Address}
			t.contacts[member.Name] = &contact{member: hint}
		}
	}
}

// Live returns the live members, the node itself among them, ordered by name.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := slices.Clone(t.ownZone(now).members)
	for _, view := range t.zones {
		if now.Sub(view.heard) <= t.options.ZoneTimeout {
			live = append(live, view.members...)
		}
	}
	sortMembers(live)
	return live
}

func (t *Table) isLive(now time.Time, known *contact) bool {
	return !known.heard.IsZero() && now.Sub(known.heard) <= t.options.FailureTimeout
}

// ZoneMembers returns the live members of one zone, which the caller must not
// change.
func (t *Table) ZoneMembers(now time.Time, zone string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		return t.ownZone(now).members
	}
	view, ok := t.zones[zone]
	if !ok || now.Sub(view.heard) > t.options.ZoneTimeout {
		return nil
	}
	return view.members
}

// Digests returns what the node reports about zones: its own if it is one of
// the zone's representatives or if the receiver is in another zone, and the
// others only towards its own zone, which it serves as a representative.
func (t *Table) Digests(now time.Time, receiverZone string) []*peerpb.ZoneDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.ownZone(now)
	if receiverZone != t.self.Zone {
		return []*peerpb.ZoneDigest{{Zone: t.self.Zone, Digest: own.digest}}
	}
	if !own.speaks {
		return nil
	}
	digests := make([]*peerpb.ZoneDigest, 0, len(t.zones))
	for zone, view := range t.zones {
		age := max(now.Sub(view.heard), 0)
		digests = append(digests, &peerpb.ZoneDigest{Zone: zone, Digest: view.digest, AgeMs: uint64(age.Milliseconds())})
	}
	return digests
}

func (t *Table) representatives(zone string, members []Member) []string {
	return placement.Top("representatives/"+zone, Names(members), t.options.Representatives)
}

// Names returns the names of the members.
func Names(members []Member) []string {
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name
	}
	return names
}

// Lookup returns the newest known form of a live member.
func (t *Table) Lookup(now time.Time, name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.Name {
		return t.self, true
	}
	if known, ok := t.contacts[name]; ok && t.isLive(now, known) {
		return known.member, true
	}
	for _, view := range t.zones {
		if now.Sub(view.heard) > t.options.ZoneTimeout {
			continue
		}
		for _, member := range view.members {
			if member.Name == name {
				return member, true
			}
		}
	}
	return Member{}, false
}

// IsTerminated reports whether this start of a node is known to have ended: a later
// start was seen, or the node is not live.
func (t *Table) IsTerminated(now time.Time, name string, incarnation uint64) bool {
	member, live := t.Lookup(now, name)
	return !live || member.Incarnation > incarnation
}

// SeesMajority reports whether the node hears, directly or through
// representatives, of more than half of the nodes that it has known within the
// forget timeout. A node that does not is likely to be the one that is cut off.
func (t *Table) SeesMajority(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, known := t.share(now, t.options.ZoneTimeout)
	return 2*heard > known
}

// SeesHalf is SeesMajority for at least half of the nodes.
func (t *Table) SeesHalf(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, known := t.share(now, t.options.ZoneTimeout)
	return 2*heard >= known
}

// SeesRecentMajority is SeesMajority with less patience for other zones: news of a
// zone is usually two intervals old at most. It is meant for choices that must be
// made before the zone counts as unreachable and that do no harm if taken back.
func (t *Table) SeesRecentMajority(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, known := t.share(now, t.options.FailureTimeout+t.options.Interval)
	return 2*heard > known
}

// share counts the nodes that were known within the forget timeout, the node
// itself among them, and those of them that are heard of, with the given patience
// for other zones. The caller holds the lock.
func (t *Table) share(now time.Time, patience time.Duration) (heard, known int) {
	known, heard = 1, 1
	for _, candidate := range t.contacts {
		recent := !candidate.heard.IsZero() && now.Sub(candidate.heard) <= t.options.ForgetTimeout
		if candidate.member.Zone != t.self.Zone || !recent || candidate.member.State == StateDraining {
			continue
		}
		known++
		if t.isLive(now, candidate) {
			heard++
		}
	}
	for _, view := range t.zones {
		if now.Sub(view.heard) > t.options.ForgetTimeout {
			continue
		}
		known += len(view.members)
		if now.Sub(view.heard) <= patience {
			heard += len(view.members)
		}
	}
	return heard, known
}

// HasLiveContact reports whether any other node has been heard of within the
// failure timeout, and whether there ever was one.
func (t *Table) HasLiveContact(now time.Time) (hears, everDid bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range t.contacts {
		if known.heard.IsZero() {
			continue
		}
		everDid = true
		if t.isLive(now, known) {
			return true, true
		}
	}
	return false, everDid
}
