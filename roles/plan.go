package roles

import (
	"cmp"
	"math"
	"slices"

	"github.com/reelrun/reelrun/backend"
)

// Allocation is the allocation of a service's engines to roles, with the demand on them.
type Allocation struct {
	Prefill []string
	Decode  []string
	// PendingPrefill and PendingDecode count the engines that are changing to a role; they are in
	// neither list.
	PendingPrefill, PendingDecode int
	// Demand is how many engines of each role recent requests keep busy; nil if unknown.
	Demand *Demand
	// Runs is the number of runs of each engine; engines without runs are omitted.
	Runs map[string]int
	// Versions is the software version of each engine. An engine without one has the empty version.
	Versions map[string]string
	// PendingDecodeVersions are the versions of the engines that are changing to the decode role.
	PendingDecodeVersions []string
}

// prefillEngineAlone returns the idlest prefill engine of a software version that has no decode engine, or "". What such
// engines prefill, no engine can decode.
func (a Allocation) prefillEngineAlone() string {
	hasDecode := map[string]bool{}
	for _, id := range a.Decode {
		hasDecode[a.Versions[id]] = true
	}
	for _, version := range a.PendingDecodeVersions {
		hasDecode[version] = true
	}
	for _, id := range byIdleness(a.Prefill, a.Runs) {
		if !hasDecode[a.Versions[id]] {
			return id
		}
	}
	return ""
}

// decodeEnginesToSpare returns the decode engines that may take the other role, in the given order: each software version
// keeps one, since its streams can continue nowhere else.
func (a Allocation) decodeEnginesToSpare() []string {
	left := map[string]int{}
	for _, id := range a.Decode {
		left[a.Versions[id]]++
	}
	var spare []string
	for _, id := range byIdleness(a.Decode, a.Runs) {
		if version := a.Versions[id]; left[version] > 1 {
			left[version]--
			spare = append(spare, id)
		}
	}
	return spare
}

// total returns the number of all engines.
func (a Allocation) total() int {
	return len(a.Prefill) + len(a.Decode) + a.PendingPrefill + a.PendingDecode
}

// Demand is the number of busy engines of each role.
type Demand struct {
	Prefill, Decode float64
	// DecodeUtilization is the mean utilization of decode engines at the moments when no further
	// run fitted; zero if that has not been observed.
	DecodeUtilization float64
}

// Change is one engine that is to take another role.
type Change struct {
	Engine string
	Role   backend.Role
	// Urgent is set if one role has far too few engines.
	Urgent bool
}

// Policy determines the role allocation.
type Policy struct {
	// PrefillShare is the share of prefill engines while the demand is unknown. Default 0.33.
	PrefillShare float64
	// Hysteresis is the share by which the load of the busier role must exceed its load in the best
	// allocation before an engine changes, because a change makes the engine unavailable for
	// several seconds. The value is for a single engine. For n engines it is divided by n to the
	// power of 1.5: one engine is an n-th of them, and the relative standard deviation of the
	// demand on n engines falls with the root of n. Default 13.5, which is a half for nine engines,
	// a seventeenth for 38 and a sixtieth for ninety.
	Hysteresis float64
	// UrgentLoad is the ratio of the load to the load in the best allocation from which a change is
	// urgent. Default 1.8.
	UrgentLoad float64
}

const (
	defaultPrefillShare = 0.33
	defaultHysteresis   = 13.5
	defaultUrgentLoad   = 1.8
	// maxDecodeUtilization is the upper bound of the mean utilization of decode engines. The ledger
	// plans the memory of each engine separately, so that the bound does not depend on their
	// number. The attainable utilization is observed when no run fits: 0.75 to 0.8 where an engine
	// holds seven runs.
	maxDecodeUtilization = 0.85
	// minDecodeUtilization is the lower bound of the target that follows from the observed
	// utilization.
	minDecodeUtilization = 0.5
	// prefillHeadroom is the number of spare prefill engines as a multiple of the square root of
	// the mean number of busy ones (square-root staffing, Halfin and Whitt 1981): any engine may
	// take the next prompt, so larger pools need proportionally less headroom for short waits. With
	// this value, three prefill engines may be 0.75 busy, which is the value measured with nine
	// engines in all; 20 prefill engines may be 0.89 busy, and 200 may be 0.96 busy.
	prefillHeadroom = 0.5
	// maxChangeShare is the share of the engines of a role that may change at once. With a quarter,
	// the prefill engines of a fleet of 600 go from a third to a fifth in 12 s; one by one that
	// takes 363 s.
	maxChangeShare = 0.25
	// hysteresisExponent is the exponent by which the hysteresis falls with the number of engines.
	hysteresisExponent = 1.5
	// minEngines is the smallest number of engines that can be allocated to both roles.
	minEngines = 2
	// shareTolerance is how far the share of prefill engines may deviate from PrefillShare while
	// the demand is unknown, if the tolerance amounts to lightLoadEngines engines or more:
	// PrefillShare is not more accurate than the tolerance, and in a fleet of thousands the
	// tolerance saves hundreds of orders, each of which makes an engine unavailable for seconds. In
	// smaller fleets every engine in the wrong role is needed in the first burst, and would change
	// roles in the middle of the burst.
	shareTolerance = 0.03
	// A role is lightly loaded if at most lightLoad of it is busy and at least lightLoadEngines are
	// free: another allocation would serve none of its requests sooner. Without this exception, a
	// large fleet would change roles without need: the best allocation has both roles equally busy,
	// however low the load, and the more engines there are, the smaller the deviation that exceeds
	// the hysteresis.
	lightLoad        = 0.5
	lightLoadEngines = 64
)

// Plan returns the changes that bring an allocation closer to the policy, or none if it is close
// enough. Each role keeps at least one engine, and the decode role one of each software version. A
// version that has prefill engines alone gets a decode engine first.
//
// If the demand were certain, all surplus engines of a role could change at once, because the best
// allocation has fewer of them anyway. The demand is an estimate, so only a part of the engines of
// a role changes at once, and the next changes follow the demand that is measured then.
func (p Policy) Plan(allocation Allocation) []Change {
	total := allocation.total()
	if total < minEngines {
		return nil
	}
	if alone := allocation.prefillEngineAlone(); alone != "" && len(allocation.Decode) > 0 {
		return []Change{{Engine: alone, Role: backend.RoleDecode, Urgent: true}}
	}
	current := len(allocation.Prefill) + allocation.PendingPrefill
	target, urgent := p.target(allocation, total)
	switch {
	case current > target:
		spare := byIdleness(allocation.Prefill, allocation.Runs)
		return changes(spare[:max(0, len(spare)-1)], maxChanges(allocation.Prefill, current-target), backend.RoleDecode, urgent)
	case current < target:
		return changes(allocation.decodeEnginesToSpare(), maxChanges(allocation.Decode, target-current), backend.RolePrefill, urgent)
	default:
		return nil
	}
}

// maxChanges returns how many engines of a role may change at once, of the number that should.
func maxChanges(from []string, wanted int) int {
	return min(wanted, max(1, int(float64(len(from))*maxChangeShare)))
}

// changes returns the changes of the first of the spare engines, up to a number.
func changes(spare []string, count int, to backend.Role, urgent bool) []Change {
	var planned []Change
	for _, id := range spare[:min(count, len(spare))] {
		planned = append(planned, Change{Engine: id, Role: to, Urgent: urgent})
	}
	return planned
}

// target returns the target number of prefill engines, and whether reaching it is urgent.
func (p Policy) target(allocation Allocation, total int) (prefill int, urgent bool) {
	current := len(allocation.Prefill) + allocation.PendingPrefill
	if allocation.Demand == nil {
		share := cmp.Or(p.PrefillShare, defaultPrefillShare) * float64(total)
		if current > 0 && math.Abs(float64(current)-share) <= toleratedEngines(total) {
			return current, false
		}
		return max(1, int(math.Round(share))), false
	}
	if allocation.Demand.isLight(current, total) {
		return current, false
	}
	best := 1
	for candidate := 2; candidate < total; candidate++ {
		if allocation.Demand.load(candidate, total) < allocation.Demand.load(best, total) {
			best = candidate
		}
	}
	load, lowest := allocation.Demand.load(current, total), allocation.Demand.load(best, total)
	hysteresis := 1 + cmp.Or(p.Hysteresis, defaultHysteresis)/math.Pow(float64(total), hysteresisExponent)
	if load <= hysteresis*lowest {
		return current, false
	}
	return best, load >= cmp.Or(p.UrgentLoad, defaultUrgentLoad)*lowest
}

// toleratedEngines returns how many engines may deviate from the initial share.
func toleratedEngines(total int) float64 {
	tolerated := shareTolerance * float64(total)
	if tolerated < lightLoadEngines {
		return 0
	}
	return tolerated
}

// load returns the load of the busier role relative to its target, for a given number of prefill
// engines among all engines.
func (d Demand) load(prefill, total int) float64 {
	return max(loadOf(d.Prefill, prefillCapacity(prefill)), loadOf(d.Decode, d.decodeTarget()*float64(total-prefill)))
}

// isLight reports whether both roles are lightly loaded, for a given number of prefill engines
// among all engines.
func (d Demand) isLight(prefill, total int) bool {
	prefillLimit, decodeLimit := prefillCapacity(prefill), d.decodeTarget()*float64(total-prefill)
	return isLightForRole(d.Prefill, prefillLimit) && isLightForRole(d.Decode, decodeLimit)
}

func isLightForRole(demand, capacity float64) bool {
	return demand <= lightLoad*capacity && capacity-demand >= lightLoadEngines
}

// decodeTarget returns the target utilization of decode engines.
func (d Demand) decodeTarget() float64 {
	if d.DecodeUtilization == 0 {
		return maxDecodeUtilization
	}
	return min(maxDecodeUtilization, max(minDecodeUtilization, d.DecodeUtilization))
}

// prefillCapacity returns how many of the given prefill engines may be busy on average.
func prefillCapacity(engines int) float64 {
	root := (math.Sqrt(prefillHeadroom*prefillHeadroom+4*float64(engines)) - prefillHeadroom) / 2 //nolint:mnd // solves busy + prefillHeadroom*sqrt(busy) = engines
	return root * root
}

func loadOf(demand, capacity float64) float64 {
	if capacity == 0 {
		return math.Inf(1)
	}
	return demand / capacity
}

// byIdleness sorts engines by the number of their runs, ties by descending identifier. Engines with
// fewer runs are free for a new role sooner.
func byIdleness(ids []string, runs map[string]int) []string {
	return slices.SortedFunc(slices.Values(ids), func(a, b string) int {
		return cmp.Or(cmp.Compare(runs[a], runs[b]), cmp.Compare(b, a))
	})
}
