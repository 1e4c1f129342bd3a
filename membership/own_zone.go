package membership

import (
	"slices"
	"time"
)

// ownZoneView is a node's view of its own zone. It is immutable: it is replaced
// when a member joins, leaves or changes. Most heartbeats in a large zone change
// nothing, and are handled without looking at the other members.
type ownZoneView struct {
	// members are the live members, including the node itself, sorted by name.
	members []Member
	digest  uint64
	// isRepresentative reports whether the node is a representative of the zone.
	isRepresentative bool
	// from and until bound the validity of the view: the member with the oldest
	// heartbeat expires at the time until, unless it sends another one.
	from, until time.Time
}

// ownZone returns the view of the own zone; mu must be held.
func (t *Table) ownZone(now time.Time) *ownZoneView {
	if t.ownView == nil || now.Before(t.ownView.from) || now.After(t.ownView.until) {
		t.ownView = t.computeOwnZone(now)
	}
	return t.ownView
}

// invalidateOwnZone drops the view of the own zone; mu must be held.
func (t *Table) invalidateOwnZone() { t.ownView = nil }

func (t *Table) computeOwnZone(now time.Time) *ownZoneView {
	view := &ownZoneView{members: []Member{t.self}, from: now, until: now.Add(t.options.FailureTimeout)}
	for _, node := range t.contacts {
		if node.member.Zone != t.self.Zone || !t.isLive(now, node) {
			continue
		}
		view.members = append(view.members, node.member)
		if expiry := node.lastHeartbeat.Add(t.options.FailureTimeout); expiry.Before(view.until) {
			view.until = expiry
		}
	}
	sortMembers(view.members)
	view.members = slices.Clip(view.members)
	view.digest = digestOf(view.members)
	view.isRepresentative = slices.Contains(t.representatives(t.self.Zone, view.members), t.self.Name)
	return view
}
