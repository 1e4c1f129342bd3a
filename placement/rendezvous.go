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
// is no member.
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

// Top returns up to count members by falling score. The first is the Owner.
func Top(key string, members []string, count int) []string {
	keyHash := xxhash.Sum64String(key)
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		scoreA, scoreB := score(keyHash, a), score(keyHash, b)
		switch {
		case scoreA > scoreB:
			return -1
		case scoreA < scoreB:
			return 1
		case a < b:
			return -1
		default:
			return 1
		}
	})
	return ranked[:min(count, len(ranked))]
}
