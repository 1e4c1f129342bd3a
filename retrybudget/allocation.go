package retrybudget

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Allocation says how many repeats beside the ratio each node may send in a window, for each service. It is
// one object in the platform's store, so that the shares of all nodes never add up to more than there is,
// whatever the nodes know of each other.
type Allocation struct {
	// Generation counts the versions.
	Generation int64 `json:"generation"`
	// Shares are by the nodes' names.
	Shares map[string]Share `json:"shares"`
}

// DecodeAllocation decodes the content of the object. It returns an error where that is no allocation, or one of
// more than the total.
func DecodeAllocation(content []byte, total int) (Allocation, error) {
	var allocation Allocation
	if err := json.Unmarshal(content, &allocation); err != nil {
		return Allocation{}, errors.Wrap(err, "decode retry shares")
	}
	for name, share := range allocation.Shares {
		if min(share.Units, share.Unconfirmed) < 0 || max(share.Units, share.Unconfirmed) > total {
			return Allocation{}, errors.Newf("share of %s is not within 0 and %d", name, total)
		}
	}
	if allocation.Generation < 1 || allocation.free(total) < 0 {
		return Allocation{}, errors.Newf("generation %d with more than %d repeats", allocation.Generation, total)
	}
	return allocation, nil
}

// Share is how much one node may send.
type Share struct {
	// Incarnation names the start of the node that has it. The next start is another one: how much the earlier
	// one has spent is not known.
	Incarnation string `json:"start"`
	// Units is how many repeats the node may send in a window.
	Units int `json:"units"`
	// Unconfirmed is how many more it may still be sending, because it has not confirmed that its share is
	// smaller now, and Lowered the generation that made it smaller.
	Unconfirmed int   `json:"unconfirmed,omitempty"`
	Lowered     int64 `json:"lowered,omitempty"`
	// Initial is set where no other node has ever had any of it: the very first shares, which go on to the next
	// starts of their nodes. One that has become larger since was another node's, perhaps until a moment
	// after this start began.
	Initial bool `json:"own,omitempty"`
}

// Member is a node that may have a share.
type Member struct {
	Name        string
	Incarnation string
	// Confirmed is the newest generation that this start has put into force.
	Confirmed int64
}

// leastRaise is by what part of a share its target must lie above it for the share to become larger. A node
// that starts again is away for a moment; without this, all others would have a little more for that time,
// and each of them would have to confirm that it has given it back.
const leastRaise = 0.25

// Next returns the allocation for the nodes that there are, and whether it is to be written. All have about the
// same share of the total. A share becomes smaller first, and another one larger only once the node has
// confirmed that.
func (a Allocation) Next(members []Member, total int) (next Allocation, changed bool) {
	next = Allocation{Generation: a.Generation + 1, Shares: a.remaining(members)}
	targets := targetsOf(members, total)
	if next.wanted(targets) > next.free(total) {
		for name, share := range next.Shares {
			next.Shares[name] = share.lowered(targets[name], next.Generation)
		}
	}
	next.raise(members, targets, next.free(total))
	return next, next.changes(a)
}

// changes reports whether the share of a node that is there differs. Those of nodes that are gone need no
// write until somebody is to have them.
func (a Allocation) changes(earlier Allocation) bool {
	for name, share := range a.Shares {
		if share != earlier.Shares[name] {
			return true
		}
	}
	return false
}

// targetsOf divides the total among the nodes. What is left over goes to one node each, by a hash of their
// names, so that a node which comes or goes changes the shares of few others.
func targetsOf(members []Member, total int) map[string]int {
	if len(members) == 0 {
		return nil
	}
	names := make([]string, len(members))
	for i, member := range members {
		names[i] = member.Name
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	targets := make(map[string]int, len(names))
	for i, name := range names {
		targets[name] = total / len(names)
		if i < total%len(names) {
			targets[name]++
		}
	}
	return targets
}

// free returns how much of the total nobody may be spending.
func (a Allocation) free(total int) int {
	for _, share := range a.Shares {
		total -= share.Units + share.Unconfirmed
	}
	return total
}

// wanted returns by how much shares are to become larger.
func (a Allocation) wanted(targets map[string]int) int {
	wanted := 0
	for name, target := range targets {
		wanted += a.Shares[name].missing(target)
	}
	return wanted
}

// missing returns by how much the share is to become larger.
func (s Share) missing(target int) int {
	missing := target - s.Units
	if missing <= 0 || float64(missing) < leastRaise*float64(s.Units) {
		return 0
	}
	return missing
}

// remaining returns the shares of the nodes that are still there. The next start of a node takes over the share
// of the one before.
func (a Allocation) remaining(members []Member) map[string]Share {
	shares := make(map[string]Share, len(members))
	for _, member := range members {
		share, found := a.Shares[member.Name]
		switch {
		case !found:
			continue
		case share.Incarnation != member.Incarnation:
			share = Share{Incarnation: member.Incarnation, Units: share.Units, Initial: share.Initial}
		case share.Unconfirmed > 0 && member.Confirmed >= share.Lowered:
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

// raise gives what is free to the nodes that have less than their targets.
func (a *Allocation) raise(members []Member, targets map[string]int, free int) {
	for _, member := range slices.SortedFunc(slices.Values(members), byName) {
		share := a.Shares[member.Name]
		more := min(share.missing(targets[member.Name]), free)
		if more <= 0 || share.Unconfirmed > 0 {
			continue
		}
		share.Incarnation, share.Units, share.Initial = member.Incarnation, share.Units+more, a.Generation == 1
		a.Shares[member.Name] = share
		free -= more
	}
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
