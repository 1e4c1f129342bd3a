package membership

import (
	"slices"
	"sync"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

// Options are the parameters of the membership protocol.
type Options struct {
	// Interval is the time between heartbeats of a pair. Default 1s.
	Interval time.Duration
	// FailureTimeout is the time without a heartbeat after which a member of the
	// own zone counts as failed. Default 3s.
	FailureTimeout time.Duration
	// ZoneTimeout is the time without a report after which another zone counts as
	// unreachable. Default 6s.
	ZoneTimeout time.Duration
	// ForgetTimeout is how long a lost member is still contacted. Default 10m.
	ForgetTimeout time.Duration
	// Representatives is the number of representatives of a zone. Default 2.
	Representatives int
}

// SetDefaults sets the fields that are zero to their defaults.
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

// contact is a node with which heartbeats are exchanged directly. lastHeartbeat is
// zero for a node that has neither answered nor sent a heartbeat itself.
type contact struct {
	member        Member
	lastHeartbeat time.Time
	lastAttempt   time.Time
}

// zoneView is the last report of another zone's representatives.
type zoneView struct {
	members    []Member
	digest     uint64
	reportedAt time.Time
	// zonesRequestedAt is when a node of the zone was last asked for the zones
	// that it knows.
	zonesRequestedAt time.Time
}

// Table is a node's view of the live members. It is safe for concurrent use.
type Table struct {
	options Options

	mu       sync.Mutex
	self     Member
	contacts map[string]*contact
	zones    map[string]*zoneView
	lastTick time.Time
	// ownView is the view of the own zone, or nil if it must be computed.
	ownView *ownZoneView
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

// SetState sets the state that the node reports in its heartbeats.
func (t *Table) SetState(state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = state
	t.invalidateOwnZone()
}

// Tick records that the node is running. A paused node receives no heartbeats,
// which says nothing about the others: the times of their last heartbeats are
// moved by the length of the pause.
func (t *Table) Tick(now time.Time) (pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lastTick.IsZero() {
		pause = now.Sub(t.lastTick) - 2*t.options.Interval
	}
	t.lastTick = now
	if pause <= 0 {
		return 0
	}
	t.invalidateOwnZone()
	for _, node := range t.contacts {
		node.lastHeartbeat = node.lastHeartbeat.Add(pause)
	}
	for _, view := range t.zones {
		view.reportedAt = view.reportedAt.Add(pause)
	}
	return pause
}

// ObserveMember records a heartbeat of a member. It reports whether the
// heartbeat is of the newest known incarnation.
func (t *Table) ObserveMember(now time.Time, member Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if member.Name == "" || member.Name == t.self.Name {
		return false
	}
	node, ok := t.contacts[member.Name]
	if !ok {
		node = &contact{}
		t.contacts[member.Name] = node
	}
	if member.Incarnation < node.member.Incarnation {
		return false
	}
	if node.member != member || !t.isLive(now, node) {
		t.invalidateOwnZone()
	}
	node.member = member
	node.lastHeartbeat = now
	return true
}

// ObserveDigests records the zone digests that another node sent, and returns
// the zones whose members must be fetched from it.
func (t *Table) ObserveDigests(now time.Time, digests []*peerpb.ZoneDigest) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var stale []string
	for _, digest := range digests {
		zone := digest.GetZone()
		if zone == t.self.Zone {
			continue
		}
		reportedAt := now.Add(-time.Duration(digest.GetAgeMs()) * time.Millisecond)
		view, ok := t.zones[zone]
		if !ok || (view.digest != digest.GetDigest() && reportedAt.After(view.reportedAt)) {
			stale = append(stale, zone)
			continue
		}
		if view.digest == digest.GetDigest() && reportedAt.After(view.reportedAt) {
			view.reportedAt = reportedAt
		}
	}
	return stale
}

// ReplaceZone records the members of another zone as reported by one of its
// representatives, with the age of the report. Members of the own zone are only
// remembered as nodes to contact.
func (t *Table) ReplaceZone(now time.Time, zone string, members []Member, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		t.addHints(members)
		return
	}
	sortMembers(members)
	replaced := &zoneView{members: members, digest: digestOf(members), reportedAt: now.Add(-age)}
	if earlier, known := t.zones[zone]; known {
		replaced.zonesRequestedAt = earlier.zonesRequestedAt
	}
	t.zones[zone] = replaced
}

func (t *Table) addHints(members []Member) {
	for _, member := range members {
		if _, known := t.contacts[member.Name]; !known && member.Name != t.self.Name {
			// The incarnation is left out: only the node itself reports the running one.
			hint := Member{Name: member.Name, Zone: member.Zone, Address: member.Address}
			t.contacts[member.Name] = &contact{member: hint}
		}
	}
}

// Live returns the live members, including the node itself, sorted by name.
func (t *Table) Live(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := slices.Clone(t.ownZone(now).members)
	for _, view := range t.zones {
		if now.Sub(view.reportedAt) <= t.options.ZoneTimeout {
			live = append(live, view.members...)
		}
	}
	sortMembers(live)
	return live
}

func (t *Table) isLive(now time.Time, node *contact) bool {
	return !node.lastHeartbeat.IsZero() && now.Sub(node.lastHeartbeat) <= t.options.FailureTimeout
}

// ZoneMembers returns the live members of one zone, which the caller must not
// modify.
func (t *Table) ZoneMembers(now time.Time, zone string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if zone == t.self.Zone {
		return t.ownZone(now).members
	}
	view, ok := t.zones[zone]
	if !ok || now.Sub(view.reportedAt) > t.options.ZoneTimeout {
		return nil
	}
	return view.members
}

// Digests returns the zone digests to send to a node: to another zone the
// digest of the own zone, and inside the own zone those of the other zones, if
// this node is a representative.
func (t *Table) Digests(now time.Time, receiverZone string) []*peerpb.ZoneDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.ownZone(now)
	if receiverZone != t.self.Zone {
		return []*peerpb.ZoneDigest{{Zone: t.self.Zone, Digest: own.digest}}
	}
	if !own.isRepresentative {
		return nil
	}
	digests := make([]*peerpb.ZoneDigest, 0, len(t.zones))
	for zone, view := range t.zones {
		age := max(now.Sub(view.reportedAt), 0)
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

// Lookup returns the newest known description of a live member.
func (t *Table) Lookup(now time.Time, name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.self.Name {
		return t.self, true
	}
	if node, ok := t.contacts[name]; ok && t.isLive(now, node) {
		return node.member, true
	}
	for _, view := range t.zones {
		if now.Sub(view.reportedAt) > t.options.ZoneTimeout {
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

// IsTerminated reports whether this start of a node is known to have ended: a
// later start was observed, or the node is not live.
func (t *Table) IsTerminated(now time.Time, name string, incarnation uint64) bool {
	member, live := t.Lookup(now, name)
	return !live || member.Incarnation > incarnation
}

// SeesMajority reports whether the node is in contact, directly or through
// representatives, with more than half of the nodes that it has known within
// the forget timeout. A node without this contact is likely to be the one that
// is partitioned from the others.
func (t *Table) SeesMajority(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reachable, known := t.countReachable(now, t.options.ZoneTimeout)
	return 2*reachable > known
}

// SeesHalf is SeesMajority for at least half of the nodes.
func (t *Table) SeesHalf(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reachable, known := t.countReachable(now, t.options.ZoneTimeout)
	return 2*reachable >= known
}

// SeesRecentMajority is SeesMajority with a shorter timeout for other zones:
// reports of a zone are usually at most two intervals old. It is meant for
// decisions that must be made before the zone counts as unreachable and that
// can be reverted without harm.
func (t *Table) SeesRecentMajority(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	reachable, known := t.countReachable(now, t.options.FailureTimeout+t.options.Interval)
	return 2*reachable > known
}

// countReachable counts the nodes that were known within the forget timeout,
// including the node itself, and those of them that are reachable, with the
// given timeout for reports of other zones; mu must be held.
func (t *Table) countReachable(now time.Time, zoneTimeout time.Duration) (reachable, known int) {
	known, reachable = 1, 1
	for _, node := range t.contacts {
		recent := !node.lastHeartbeat.IsZero() && now.Sub(node.lastHeartbeat) <= t.options.ForgetTimeout
		if node.member.Zone != t.self.Zone || !recent || node.member.State == StateDraining {
			continue
		}
		known++
		if t.isLive(now, node) {
			reachable++
		}
	}
	for _, view := range t.zones {
		if now.Sub(view.reportedAt) > t.options.ForgetTimeout {
			continue
		}
		known += len(view.members)
		if now.Sub(view.reportedAt) <= zoneTimeout {
			reachable += len(view.members)
		}
	}
	return reachable, known
}

// HasLiveContact reports whether another node has sent a heartbeat within the
// failure timeout, and whether any has ever sent one.
func (t *Table) HasLiveContact(now time.Time) (hasContact, everHad bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, node := range t.contacts {
		if node.lastHeartbeat.IsZero() {
			continue
		}
		everHad = true
		if t.isLive(now, node) {
			return true, true
		}
	}
	return false, everHad
}
