package retrybudget

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Allocation holds how many retries beyond the ratio each node may send per window, for each service. It is one
// object in the platform's store, so that the shares of all nodes never add up to more than the total, whatever
// the nodes know of each other.
type Allocation struct {
	// Generation counts the versions of the allocation.
	Generation int64 `json:"generation"`
	// Shares maps node names to shares.
	Shares map[string]Share `json:"shares"`
}

// DecodeAllocation decodes the content of the object. It returns an error if the content is not an
// allocation, or allocates more than the total.
func DecodeAllocation(content []byte, total int) (Allocation, error) {
	var allocation Allocation
	if err := json.Unmarshal(content, &allocation); err != nil {
		return Allocation{}, errors.Wrap(err, "decode retry shares")
	}
	for name, share := range allocation.Shares {
		if min(share.Units, share.Unconfirmed) < 0 || max(share.Units, share.Unconfirmed) > total {
			return Allocation{}, errors.Newf("share of %s is not between 0 and %d", name, total)
		}
	}
	if allocation.Generation < 1 || allocation.free(total) < 0 {
		return Allocation{}, errors.Newf("generation %d is below 1, or its shares exceed %d retries", allocation.Generation, total)
	}
	return allocation, nil
}

// Share is how much one node may send.
type Share struct {
	// Incarnation names the start of the node that has the share. The next start has another name: how much the
	// earlier one has spent is unknown.
	Incarnation string `json:"start"`
	// Units is how many retries the node may send per window.
	Units int `json:"units"`
	// Unconfirmed is how many more the node may still be sending, because it has not confirmed the reduction of
	// its share, and Lowered is the generation that reduced the share.
	Unconfirmed int   `json:"unconfirmed,omitempty"`
	Lowered     int64 `json:"lowered,omitempty"`
	// Initial is set if no other node has ever had any of the share: it was assigned by the first generation,
	// and passes on to the next starts of its node. A share increased since then was partly another node's,
	// perhaps until after this start began.
	Initial bool `json:"own,omitempty"`
}

// Member is a node that may have a share.
type Member struct {
	Name        string
	Incarnation string
	// Confirmed is the newest generation that this start has applied.
	Confirmed int64
}

// minRaise is the smallest increase of a share, as a fraction of the share. A restarting node is absent briefly;
// without this threshold, all others would get slightly more for that time, and each of them would have to
// confirm that it has given the increase back.
const minRaise = 0.25

// Next returns the allocation for the given nodes, and whether it must be written. All nodes get about the same
// share of the total. Shares are reduced first; others are increased by these units only once the nodes with the
// reduced shares have confirmed the reduction.
func (a Allocation) Next(members []Member, total int) (next Allocation, changed bool) {
	next = Allocation{Generation: a.Generation + 1, Shares: a.currentShares(members)}
	targets := targetUnits(members, total)
	if next.shortfall(targets) > next.free(total) {
		for name, share := range next.Shares {
			next.Shares[name] = share.lowered(targets[name], next.Generation)
		}
	}
	next.raise(members, targets, next.free(total))
	return next, next.changes(a)
}

// changes reports whether the share of a current node differs from the earlier one. Shares of removed nodes need
// no write until their units are given to other nodes.
func (a Allocation) changes(earlier Allocation) bool {
	for name, share := range a.Shares {
		if share != earlier.Shares[name] {
			return true
		}
	}
	return false
}

// targetUnits divides the total among the nodes. The remainder goes to one node each, by a hash of their names,
// so that a node which joins or leaves changes the shares of few others.
func targetUnits(members []Member, total int) map[string]int {
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

// free returns how much of the total no node may be spending.
func (a Allocation) free(total int) int {
	for _, share := range a.Shares {
		total -= share.Units + share.Unconfirmed
	}
	return total
}

// shortfall returns the sum by which shares should increase.
func (a Allocation) shortfall(targets map[string]int) int {
	shortfall := 0
	for name, target := range targets {
		shortfall += a.Shares[name].shortfall(target)
	}
	return shortfall
}

// shortfall returns by how much the share should increase.
func (s Share) shortfall(target int) int {
	shortfall := target - s.Units
	if shortfall <= 0 || float64(shortfall) < minRaise*float64(s.Units) {
		return 0
	}
	return shortfall
}

// currentShares returns the shares of the current nodes. The next start of a node inherits the share of its
// previous start.
func (a Allocation) currentShares(members []Member) map[string]Share {
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

// lowered returns the share reduced to at most target units.
func (s Share) lowered(target int, generation int64) Share {
	if s.Units <= target {
		return s
	}
	s.Unconfirmed += s.Units - target
	s.Units, s.Lowered = target, generation
	return s
}

// raise distributes the free units to the nodes below their targets.
func (a *Allocation) raise(members []Member, targets map[string]int, free int) {
	for _, member := range slices.SortedFunc(slices.Values(members), byName) {
		share := a.Shares[member.Name]
		more := min(share.shortfall(targets[member.Name]), free)
		if more <= 0 || share.Unconfirmed > 0 {
			continue
		}
		share.Incarnation, share.Units, share.Initial = member.Incarnation, share.Units+more, a.Generation == 1
		a.Shares[member.Name] = share
		free -= more
	}
}

func byName(a, b Member) int { return cmp.Compare(a.Name, b.Name) }
