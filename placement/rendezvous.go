package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// score mixes the hash of a key with the hash of a member by the finalizer of
// MurmurHash3, which spreads every input bit over the result.
func score(keyHash uint64, member string) uint64 {
	const firstMultiplier, secondMultiplier = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	mixed := keyHash ^ (xxhash.Sum64String(member) * firstMultiplier)
	mixed ^= mixed >> 33
	mixed *= firstMultiplier
	mixed ^= mixed >> 33
	mixed *= secondMultiplier
	mixed ^= mixed >> 33
	return mixed
}

// Owner returns the member with the highest score for the key, or "" if there
// are no members.
func Owner(key string, members []string) string {
	keyHash := xxhash.Sum64String(key)
	var owner string
	var best uint64
	for _, member := range members {
		current := score(keyHash, member)
		if owner == "" || current > best || (current == best && member < owner) {
			owner, best = member, current
		}
	}
	return owner
}

// candidate is a member with its score for a key.
type candidate struct {
	name  string
	score uint64
}

// before orders candidates by descending score, and equal ones by name.
func (c candidate) before(other candidate) bool {
	if c.score != other.score {
		return c.score > other.score
	}
	return c.name < other.name
}

// Top returns up to count members by descending score. The first is the Owner.
func Top(key string, members []string, count int) []string {
	keyHash := xxhash.Sum64String(key)
	best := make([]candidate, 0, min(count, len(members))+1)
	for _, member := range members {
		added := candidate{member, score(keyHash, member)}
		position := len(best)
		for position > 0 && added.before(best[position-1]) {
			position--
		}
		if position == count {
			continue
		}
		best = slices.Insert(best, position, added)
		best = best[:min(len(best), count)]
	}
	names := make([]string, len(best))
	for i, chosen := range best {
		names[i] = chosen.name
	}
	return names
}
