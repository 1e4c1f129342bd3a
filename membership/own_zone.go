package membership

import (
	"slices"
	"time"
)

// ownZoneView is what a node sees of its own zone. It never changes: a new one
// is made when a member comes, goes or changes. Heartbeats that bring nothing new
// are most of the work of a large zone, and cost no look at the other members.
type ownZoneView struct {
	// members are the live members, the node itself among them, ordered by name.
	members []Member
	digest  uint64
	// speaks states that the node speaks for the zone.
	speaks bool
	// from and until bound the time for which the view holds by itself: at until
	// the member heard longest ago counts as gone, unless it is heard again.
	from, until time.Time
}

// ownZone returns the view of the own zone. The caller holds the lock.
func (t *Table) ownZone(now time.Time) *ownZoneView {
	if t.own == nil || now.Before(t.own.from) || now.After(t.own.until) {
		t.own = t.viewOwnZone(now)
	}
	return t.own
}

// ownZoneChanged drops the view of the own zone. The caller holds the lock.
func (t *Table) ownZoneChanged() { t.own = nil }

func (t *Table) viewOwnZone(now time.Time) *ownZoneView {
	made := &ownZoneView{members: []Member{t.self}, from: now, until: now.Add(t.options.FailureTimeout)}
	for _, known := range t.contacts {
		if known.member.Zone != t.self.Zone || !t.isLive(now, known) {
			continue
		}
		made.members = append(made.members, known.member)
		if gone := known.heard.Add(t.options.FailureTimeout); gone.Before(made.until) {
			made.until = gone
		}
	}
	sortMembers(made.members)
	made.members = slices.Clip(made.members)
	made.digest = digestOf(made.members)
	made.speaks = slices.Contains(t.representatives(t.self.Zone, made.members), t.self.Name)
	return made
}
