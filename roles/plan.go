package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/reelrun/reelrun/backend"
)

// Allocation is how the engines of a service are divided, and what is asked of them.
type Allocation struct {
	Prefill []string
	Decode  []string
	// PendingPrefill and PendingDecode count the engines that are changing to a role; they are
	// in neither list.
	PendingPrefill, PendingDecode int
	// Demand is how many engines of each role the requests of late keep busy; nil where it is
	// not known.
	Demand *Demand
	// Runs is how many runs engines have; those without are not named.
	Runs map[string]int
}

// total returns the number of all engines.
func (d Allocation) total() int {
	return len(d.Prefill) + len(d.Decode) + d.PendingPrefill + d.PendingDecode
}

// Demand is a number of busy engines for each role.
type Demand struct {
	Prefill, Decode float64
	// DecodeUtilization is how busy decode engines were on average when no run fitted any more; zero
	// where that was not seen.
	DecodeUtilization float64
}

// Change is one engine that is to take another role.
type Change struct {
	Engine string
	Role   backend.Role
	// Urgent is set where one role has far too few engines.
	Urgent bool
}

// Policy is how engines are to be divided.
type Policy struct {
	// PrefillShare is the share of the engines that read prompts while the demand is not
	// known. Default 0.33.
	PrefillShare float64
	// Hysteresis is how much busier, as a factor above one and for a single engine, the busier
	// role must be than in the best division before an engine changes: a change takes it away
	// for several seconds. Among n engines it is that by n to the power of 1.5: one engine is an
	// n-th of them, and what so many are asked for varies less by chance, by the root of n.
	// Default 13.5, which is half as busy again among nine engines, a seventeenth among 38 and a
	// sixtieth among ninety.
	Hysteresis float64
	// UrgentLoad is the same factor from which a change is urgent. Default 1.8.
	UrgentLoad float64
}

const (
	defaultPrefillShare = 0.33
	defaultHysteresis   = 13.5
	defaultUrgentLoad   = 1.8
	// decodeTarget is how busy decode engines may be on average, at most. Their memory can be filled
	// by the plan of their runs, but each for itself, so that it does not depend on their number.
	// How far is seen when no run fits: 0.75 to 0.8 where an engine holds seven runs.
	decodeTarget = 0.85
	// leastDecodeFill bounds from below what is believed to fill an engine.
	leastDecodeFill = 0.5
	// prefillSpare is how much more prefill engines there are than are busy on average, as a
	// multiple of the root of that (square-root staffing, Halfin and Whitt 1981): any of them may
	// take the next prompt, and the more there are, the less spare time keeps the waits short.
	// With it three engines may be 0.75 busy, which was measured for nine engines in all, 20
	// may be 0.89 and 200 0.96.
	prefillSpare = 0.5
	// mostAtOnce is the share of the engines of a role that may change at once. With a quarter the
	// readers of 600 engines come down from a third to a fifth in 12 s, one by one in 363 s.
	mostAtOnce = 0.25
	// hysteresisPower is by which power of the number of engines the hysteresis falls.
	hysteresisPower = 1.5
	// leastEngines is the least number of engines that can be divided.
	leastEngines = 2
	// shareTolerance is by how much the share of the engines that read prompts may be off while the demand is
	// not known, where that is calmEngines or more: the first guess is no better than that, and among
	// thousands it keeps hundreds from an order each, and from seconds in which they do nothing. Among fewer
	// each engine in the wrong role is missed in the first burst, and changes in the middle of it.
	shareTolerance = 0.03
	// A role is calm of which at most calmLoad is busy and at least calmEngines are free: no request of it waits
	// for another division. The best division has roles equally busy, however little that is, and the more
	// engines there are, the less off it is worth an order.
	calmLoad    = 0.5
	calmEngines = 64
)

// Plan returns the changes that bring a division closer to the policy, none where it is close
// enough. One engine at least keeps each role.
//
// All that the giving role has too many of may go as soon as the demand is certain: the best
// division has fewer of them anyway. The demand is an estimate, so that at most a part of a role
// changes at once, and the next changes follow what is measured then.
func (p Policy) Plan(division Allocation) []Change {
	total := division.total()
	if total < leastEngines {
		return nil
	}
	current := len(division.Prefill) + division.PendingPrefill
	wanted, urgent := p.wanted(division, total)
	switch {
	case current > wanted:
		return changes(division.Prefill, division.Runs, current-wanted, backend.RoleDecode, urgent)
	case current < wanted:
		return changes(division.Decode, division.Runs, wanted-current, backend.RolePrefill, urgent)
	default:
		return nil
	}
}

// changes returns so many changes of the engines of one role, or as many as may change at once.
func changes(from []string, runs map[string]int, count int, to backend.Role, urgent bool) []Change {
	atOnce := max(1, int(float64(len(from))*mostAtOnce))
	count = min(count, atOnce, len(from)-1)
	var planned []Change
	for _, id := range byIdleness(from, runs)[:max(0, count)] {
		planned = append(planned, Change{Engine: id, Role: to, Urgent: urgent})
	}
	return planned
}

// wanted returns how many prefill engines there should be, and whether that is urgent.
func (p Policy) wanted(division Allocation, total int) (prefill int, urgent bool) {
	current := len(division.Prefill) + division.PendingPrefill
	if division.Demand == nil {
		share := cmp.Or(p.PrefillShare, defaultPrefillShare) * float64(total)
		if current > 0 && math.Abs(float64(current)-share) <= toleratedEngines(total) {
			return current, false
		}
		return max(1, int(math.Round(share))), false
	}
	if division.Demand.isCalm(current, total) {
		return current, false
	}
	best := 1
	for candidate := 2; candidate < total; candidate++ {
		if division.Demand.load(candidate, total) < division.Demand.load(best, total) {
			best = candidate
		}
	}
	load, least := division.Demand.load(current, total), division.Demand.load(best, total)
	hysteresis := 1 + cmp.Or(p.Hysteresis, defaultHysteresis)/math.Pow(float64(total), hysteresisPower)
	if load <= hysteresis*least {
		return current, false
	}
	return best, load >= cmp.Or(p.UrgentLoad, defaultUrgentLoad)*least
}

// toleratedEngines returns how many engines may be in another role than the first guess wants, among so many.
func toleratedEngines(total int) float64 {
	tolerated := shareTolerance * float64(total)
	if tolerated < calmEngines {
		return 0
	}
	return tolerated
}

// load returns how busy the busier role is against its target, with so many prefill engines
// among all.
func (d Demand) load(prefill, total int) float64 {
	return max(loadOf(d.Prefill, prefillCapacity(prefill)), loadOf(d.Decode, d.decodeTarget()*float64(total-prefill)))
}

// isCalm reports whether neither role has anything to wait for, with so many prefill engines among all.
func (d Demand) isCalm(prefill, total int) bool {
	readers, writers := prefillCapacity(prefill), d.decodeTarget()*float64(total-prefill)
	return isCalmRole(d.Prefill, readers) && isCalmRole(d.Decode, writers)
}

func isCalmRole(demand, capacity float64) bool {
	return demand <= calmLoad*capacity && capacity-demand >= calmEngines
}

// decodeTarget returns how busy decode engines may be on average.
func (d Demand) decodeTarget() float64 {
	if d.DecodeUtilization == 0 {
		return decodeTarget
	}
	return min(decodeTarget, max(leastDecodeFill, d.DecodeUtilization))
}

// prefillCapacity returns how many of so many prefill engines may be busy on average.
func prefillCapacity(engines int) float64 {
	root := (math.Sqrt(prefillSpare*prefillSpare+4*float64(engines)) - prefillSpare) / 2 //nolint:mnd // of busy + spare * sqrt(busy) = engines
	return root * root
}

func loadOf(demand, capacity float64) float64 {
	if capacity == 0 {
		return math.Inf(1)
	}
	return demand / capacity
}

// byIdleness returns engines by the number of their runs, of equal ones the last by its
// identifier first: they are free for a new role in that order.
func byIdleness(ids []string, runs map[string]int) []string {
	return slices.SortedFunc(slices.Values(ids), func(a, b string) int {
		return cmp.Or(cmp.Compare(runs[a], runs[b]), cmp.Compare(b, a))
	})
}
