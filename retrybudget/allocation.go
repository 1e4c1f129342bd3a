package retrybudget

import (
	"maps"
	"slices"
	"strings"
)

// Allocation says how many repeats beside the ratio each node may send in a window, for each service. It is
// one object in the platform's store, so that the parts of all nodes never add up to more than there is,
// whatever the nodes know of each other.
type Allocation struct {
	// Generation counts the versions.
	Generation int64 `json:"generation"`
	// Shares are the nodes' parts by the nodes' names.
	Shares map[string]Share `json:"shares"`
}

// Share is a node's part.
type Share struct {
	// Start names the start of the node that has it. The next start is another one: how much the earlier
	// one has spent is not known.
	Start string `json:"start"`
	// Units is how many repeats the node may send in a window.
	Units int `json:"units"`
	// Unconfirmed is how many more it may still be sending, because it has not confirmed that its part is
	// smaller now, and Lowered the generation that made it smaller.
	Unconfirmed int   `json:"unconfirmed,omitempty"`
	Lowered     int64 `json:"lowered,omitempty"`
	// First is set where no node had any of it before.
	First bool `json:"first,omitempty"`
}

// Member is a node that may have a part.
type Member struct {
	Name  string
	Start string
	// Confirmed is the newest generation that this start has put into force.
	Confirmed int64
}

// Next returns the allocation for the nodes that there are, and whether it differs. All have the same part of
// the total. A part becomes smaller first, and another one larger only once the node has confirmed that.
func (a Allocation) Next(members []Member, total int) (next Allocation, changed bool) {
	next = Allocation{Generation: a.Generation + 1, Shares: a.remaining(members)}
	target := total / max(1, len(members))
	for name, share := range next.Shares {
		next.Shares[name] = share.lowered(target, next.Generation)
	}
	next.raise(members, target, total)
	return next, !maps.Equal(next.Shares, a.Shares)
}

// remaining returns the parts of the nodes that are still there, by the same start.
func (a Allocation) remaining(members []Member) map[string]Share {
	shares := make(map[string]Share, len(members))
	for _, member := range members {
		share, found := a.Shares[member.Name]
		if !found || share.Start != member.Start {
			continue
		}
		if share.Unconfirmed > 0 && member.Confirmed >= share.Lowered {
			share.Unconfirmed, share.Lowered = 0, 0
		}
		shares[member.Name] = share
	}
	return shares
}

// lowered returns the share with at most so many units.
func (s Share) lowered(target int, generation int64) Share {
	if s.Units <= target {
		return s
	}
	s.Unconfirmed += s.Units - target
	s.Units, s.Lowered = target, generation
	return s
}

// raise gives what is free to the nodes that have less than the others.
func (a *Allocation) raise(members []Member, target, total int) {
	free := total
	for _, share := range a.Shares {
		free -= share.Units + share.Unconfirmed
	}
	for _, member := range slices.SortedFunc(slices.Values(members), byName) {
		share := a.Shares[member.Name]
		more := min(target-share.Units, free)
		if more <= 0 || share.Unconfirmed > 0 {
			continue
		}
		share.Start, share.Units, share.First = member.Start, share.Units+more, a.Generation == 1
		a.Shares[member.Name] = share
		free -= more
	}
}

func byName(a, b Member) int { return strings.Compare(a.Name, b.Name) }
