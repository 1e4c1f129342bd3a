package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
)

const (
	// writtenWeight is the weight of a crash for parts of which each request had written something before it: a part that
	// crashes backends does so when they begin to write.
	writtenWeight = 0.25
	// minGroupCrashes is the number of crashes from which parts are considered. Fewer are no pattern.
	minGroupCrashes = 2
)

// crashedRequest is a request that was in flight at a backend that ended.
type crashedRequest struct {
	// parts are the parts of its prompt that no backend has answered.
	parts []Fingerprint
	// written is set if the backend had begun to write the response.
	written bool
}

// crashedBackend is a backend that ended, with the requests that were in flight there.
type crashedBackend struct {
	name     string
	requests []crashedRequest
}

// blamedGroup is a group of parts that explains why backends ended. Its parts cannot be told apart: so far, they were in the
// same requests.
type blamedGroup struct {
	// parts are sorted.
	parts []Fingerprint
	// backends are those whose end it explains, sorted.
	backends []string
	// onlyExplanation is the number of these backends at which no other part is a candidate.
	onlyExplanation int
}

// blame returns the groups of parts that explain best why backends ended, each with the backends that the ones before it do
// not explain.
//
// The load pattern that it answers: requests that differ in all but one part of their prompts end each backend that begins to
// write their response, beside many requests that share the other parts and are broken off with them. All parts of all these
// requests were present. A part is more probable the more crashes it explains and the fewer requests it was in at each: parts
// that most requests share are in most requests of a backend, the cause is in few.
func blame(crashes []crashedBackend) []blamedGroup {
	candidates := groupParts(crashes)
	explained := make([]bool, len(crashes))
	var blamed []blamedGroup
	for len(blamed) < maxGroups {
		best := mostProbable(candidates, explained)
		if best == nil {
			return blamed
		}
		group := blamedGroup{parts: best.parts}
		for _, crash := range best.unexplained(explained) {
			group.backends = append(group.backends, crashes[crash].name)
			if best.isOnlyExplanation(crashes[crash]) {
				group.onlyExplanation++
			}
		}
		for _, crash := range best.crashes {
			explained[crash] = true
		}
		slices.Sort(group.backends)
		blamed = append(blamed, group)
	}
	return blamed
}

// partGroup is a group of parts that were in the same requests.
type partGroup struct {
	parts []Fingerprint
	// crashes are the indices of the crashes at which these requests were broken off, and weights how strongly each of them
	// speaks against the group.
	crashes []int
	weights []float64
}

// occurrence is a request, by the indices of its crash and of the request at that crash.
type occurrence struct{ crash, request int }

// groupParts divides the parts into groups that were in the same requests, and leaves out those that were at too few crashes.
func groupParts(crashes []crashedBackend) []*partGroup {
	occurrences := map[Fingerprint][]occurrence{}
	for i, crash := range crashes {
		for j, request := range crash.requests {
			for _, part := range request.parts {
				occurrences[part] = append(occurrences[part], occurrence{i, j})
			}
		}
	}
	groups := map[string]*partGroup{}
	for part, found := range occurrences {
		if found[len(found)-1].crash == found[0].crash {
			continue
		}
		signature := signatureOf(found)
		if groups[signature] == nil {
			groups[signature] = newPartGroup(crashes, found)
		}
		groups[signature].parts = append(groups[signature].parts, part)
	}
	all := slices.Collect(maps.Values(groups))
	for _, group := range all {
		slices.SortFunc(group.parts, compareFingerprints)
	}
	slices.SortFunc(all, func(a, b *partGroup) int { return compareFingerprints(a.parts[0], b.parts[0]) })
	return all
}

// signatureOf returns a text that only parts in the same requests have.
func signatureOf(found []occurrence) string {
	var signature []byte
	for _, at := range found {
		signature = binary.AppendUvarint(binary.AppendUvarint(signature, uint64(at.crash)), uint64(at.request))
	}
	return string(signature)
}

// newPartGroup returns a group, still without parts, that was in the given requests.
func newPartGroup(crashes []crashedBackend, found []occurrence) *partGroup {
	group := &partGroup{}
	for first := 0; first < len(found); {
		crash, weight, next := found[first].crash, writtenWeight, first
		for ; next < len(found) && found[next].crash == crash; next++ {
			if !crashes[crash].requests[found[next].request].written {
				weight = 1
			}
		}
		group.crashes = append(group.crashes, crash)
		group.weights = append(group.weights, weight/float64(next-first))
		first = next
	}
	return group
}

// unexplained returns the indices of the crashes that the group explains and no earlier group does.
func (g *partGroup) unexplained(explained []bool) []int {
	return slices.DeleteFunc(slices.Clone(g.crashes), func(crash int) bool { return explained[crash] })
}

// weigh returns how many crashes the group explains that no earlier group does, and how strongly they speak against it.
func (g *partGroup) weigh(explained []bool) (count int, weight float64) {
	for i, crash := range g.crashes {
		if !explained[crash] {
			count++
			weight += g.weights[i]
		}
	}
	return count, weight
}

// isOnlyExplanation reports whether no other part is a candidate at a crash.
func (g *partGroup) isOnlyExplanation(crash crashedBackend) bool {
	for _, request := range crash.requests {
		for _, part := range request.parts {
			if !slices.Contains(g.parts, part) {
				return false
			}
		}
	}
	return true
}

// mostProbable returns the group with the greatest weight of those that may explain enough crashes, or nil.
func mostProbable(groups []*partGroup, explained []bool) *partGroup {
	var best *partGroup
	greatest := 0.0
	for _, group := range groups {
		if count, weight := group.weigh(explained); count >= minGroupCrashes && weight > greatest {
			best, greatest = group, weight
		}
	}
	return best
}

func compareFingerprints(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }
