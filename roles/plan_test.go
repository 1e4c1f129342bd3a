package roles_test

import (
	"slices"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/roles"
)

// TestPlanEnds applies planned changes until there is none, and checks that each role keeps an
// engine and no engine changes twice.
func TestPlanEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := roles.Policy{PrefillShare: rapid.Float64Range(0.01, 0.99).Draw(t, "share")}
		role := map[string]backend.Role{}
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			role[strconv.Itoa(i)] = rapid.SampledFrom([]backend.Role{backend.RolePrefill, backend.RoleDecode}).Draw(t, "role")
		}
		changed := map[string]bool{}
		for {
			var allocation roles.Allocation
			for id, current := range role {
				if current == backend.RolePrefill {
					allocation.Prefill = append(allocation.Prefill, id)
				} else {
					allocation.Decode = append(allocation.Decode, id)
				}
			}
			planned := policy.Plan(allocation)
			if len(planned) == 0 {
				return
			}
			for _, change := range planned {
				if changed[change.Engine] {
					t.Fatalf("%s changes twice", change.Engine)
				}
				changed[change.Engine] = true
				role[change.Engine] = change.Role
			}
			to := planned[0].Role
			if len(allocation.Prefill) <= len(planned) && to == backend.RoleDecode || len(allocation.Decode) <= len(planned) && to == backend.RolePrefill {
				t.Fatal("a role has no engines left")
			}
		}
	})
}

// TestRoleChangeTakesLastDecodeEngineOfAVersion applies planned changes to engines of several versions: each version keeps
// a decode engine that it had.
func TestRoleChangeTakesLastDecodeEngineOfAVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := roles.Policy{PrefillShare: rapid.Float64Range(0.3, 0.99).Draw(t, "share")}
		allocation := roles.Allocation{Versions: map[string]string{}, Runs: map[string]int{}}
		hasDecode := map[string]bool{}
		for i := range rapid.IntRange(2, 20).Draw(t, "engines") {
			id, version := strconv.Itoa(i), rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
			allocation.Versions[id], allocation.Runs[id] = version, rapid.IntRange(0, 3).Draw(t, "runs")
			if rapid.Bool().Draw(t, "prefill") {
				allocation.Prefill = append(allocation.Prefill, id)
				continue
			}
			allocation.Decode = append(allocation.Decode, id)
			hasDecode[version] = true
		}
		for planned := policy.Plan(allocation); len(planned) > 0; planned = policy.Plan(allocation) {
			if planned[0].Role == backend.RoleDecode {
				return
			}
			for _, change := range planned {
				at := slices.Index(allocation.Decode, change.Engine)
				allocation.Decode = slices.Delete(allocation.Decode, at, at+1)
				allocation.Prefill = append(allocation.Prefill, change.Engine)
			}
			kept := map[string]bool{}
			for _, id := range allocation.Decode {
				kept[allocation.Versions[id]] = true
			}
			if len(kept) != len(hasDecode) {
				t.Fatalf("decode engines of %v are left, of %v there were some", kept, hasDecode)
			}
		}
	})
}

// TestVersionWithPrefillEnginesAloneServesNobody has a version whose engines all have the prefill role.
func TestVersionWithPrefillEnginesAloneServesNobody(t *testing.T) {
	g := NewWithT(t)
	allocation := roles.Allocation{
		Prefill: []string{"a", "b", "c"}, Decode: []string{"d", "e", "f", "g"},
		Versions: map[string]string{"a": "v2", "b": "v2", "c": "v1", "d": "v1", "e": "v1", "f": "v1", "g": "v1"},
	}
	g.Expect(roles.Policy{}.Plan(allocation)).To(Equal([]roles.Change{{Engine: "b", Role: backend.RoleDecode, Urgent: true}}))
	allocation.Prefill, allocation.PendingDecode, allocation.PendingDecodeVersions = []string{"a", "c"}, 1, []string{"v2"}
	g.Expect(roles.Policy{}.Plan(allocation)).To(BeEmpty())
}

func TestNineEnginesKeepThreeForPrefill(t *testing.T) {
	g := NewWithT(t)
	allocation := roles.Allocation{Prefill: []string{"a", "b", "c", "d"}, Decode: []string{"e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(allocation)).To(Equal([]roles.Change{{Engine: "d", Role: backend.RoleDecode}}))
	allocation = roles.Allocation{Prefill: []string{"a", "b", "c"}, Decode: []string{"d", "e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(allocation)).To(BeEmpty())
}

// TestPlanFollowsDemand plans nine engines, of which three have the prefill role, for different
// demands.
func TestPlanFollowsDemand(t *testing.T) {
	three := []string{"a", "b", "c"}
	six := []string{"d", "e", "f", "g", "h", "i"}
	for name, test := range map[string]struct {
		demand *roles.Demand
		want   []roles.Change
	}{
		"balanced":                    {&roles.Demand{Prefill: 1.6, Decode: 3.8}, nil},
		"a burst of both":             {&roles.Demand{Prefill: 3.4, Decode: 8}, nil},
		"slow prefill":                {&roles.Demand{Prefill: 2.9, Decode: 2.7}, []roles.Change{{Engine: "i", Role: backend.RolePrefill}}},
		"far too few prefill engines": {&roles.Demand{Prefill: 4, Decode: 1}, []roles.Change{{Engine: "i", Role: backend.RolePrefill, Urgent: true}}},
		"too little to gain":          {&roles.Demand{Prefill: 0.3, Decode: 6}, nil},
		"no demand on decode":         {&roles.Demand{Prefill: 2}, []roles.Change{{Engine: "i", Role: backend.RolePrefill, Urgent: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			allocation := roles.Allocation{Prefill: three, Decode: six, Demand: test.demand}
			NewWithT(t).Expect(roles.Policy{}.Plan(allocation)).To(Equal(test.want))
		})
	}
}

// TestIdlestEngineChangesFirst expects the engine with the fewest runs to change.
func TestIdlestEngineChangesFirst(t *testing.T) {
	g := NewWithT(t)
	allocation := roles.Allocation{
		Prefill: []string{"a"}, Decode: []string{"b", "c", "d", "e", "f"},
		Demand: &roles.Demand{Prefill: 2, Decode: 2}, Runs: map[string]int{"b": 4, "c": 1, "d": 7, "e": 2, "f": 3},
	}
	g.Expect(roles.Policy{}.Plan(allocation)).To(HaveExactElements(HaveField("Engine", "c")))
}

// TestPlanByDemandEnds is TestPlanEnds with a demand instead of a share.
func TestPlanByDemandEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := &roles.Demand{Prefill: rapid.Float64Range(0, 50).Draw(t, "prefill"), Decode: rapid.Float64Range(0, 50).Draw(t, "decode")}
		engines := rapid.IntRange(0, 40).Draw(t, "engines")
		prefill := rapid.IntRange(0, engines).Draw(t, "of them prefill")
		initialPrefill := prefill
		for steps := 0; ; steps++ {
			allocation := roles.Allocation{Demand: demand}
			for i := range engines {
				if i < prefill {
					allocation.Prefill = append(allocation.Prefill, strconv.Itoa(i))
				} else {
					allocation.Decode = append(allocation.Decode, strconv.Itoa(i))
				}
			}
			planned := roles.Policy{}.Plan(allocation)
			if len(planned) == 0 {
				return
			}
			if planned[0].Role == backend.RolePrefill {
				prefill += len(planned)
			} else {
				prefill -= len(planned)
			}
			if steps > 40 {
				t.Fatalf("plan does not end, started with %d prefill engines of %d", initialPrefill, engines)
			}
			if prefill <= 0 || prefill >= engines {
				t.Fatal("a role has no engines left")
			}
		}
	})
}

// TestLargeFleetsAllocateMoreFinely has a third of 90 engines in the prefill role, where slightly
// less than a third is best. The same shares of nine engines stay as they are.
func TestLargeFleetsAllocateMoreFinely(t *testing.T) {
	g := NewWithT(t)
	allocationOf := func(engines int) roles.Allocation {
		scale := float64(engines) / 90
		allocation := roles.Allocation{Demand: &roles.Demand{Prefill: 14 * scale, Decode: 48 * scale}}
		for i := range engines {
			if i < engines/3 {
				allocation.Prefill = append(allocation.Prefill, strconv.Itoa(i))
			} else {
				allocation.Decode = append(allocation.Decode, strconv.Itoa(i))
			}
		}
		return allocation
	}
	g.Expect(roles.Policy{}.Plan(allocationOf(90))).To(HaveEach(HaveField("Role", backend.RoleDecode)))
	g.Expect(roles.Policy{}.Plan(allocationOf(90))).NotTo(BeEmpty())
	g.Expect(roles.Policy{}.Plan(allocationOf(9))).To(BeEmpty())
}

// TestLowDecodeUtilizationNeedsMoreDecodeEngines plans 38 engines for a load whose runs leave a
// quarter of the memory unused.
func TestLowDecodeUtilizationNeedsMoreDecodeEngines(t *testing.T) {
	g := NewWithT(t)
	allocationOf := func(utilization float64) roles.Allocation {
		allocation := roles.Allocation{Demand: &roles.Demand{Prefill: 5.2, Decode: 19.5, DecodeUtilization: utilization}}
		for i := range 38 {
			if i < 10 {
				allocation.Prefill = append(allocation.Prefill, strconv.Itoa(i))
			} else {
				allocation.Decode = append(allocation.Decode, strconv.Itoa(i))
			}
		}
		return allocation
	}
	g.Expect(roles.Policy{}.Plan(allocationOf(0))).To(BeEmpty())
	g.Expect(roles.Policy{}.Plan(allocationOf(0.72))).To(HaveExactElements(
		HaveField("Role", backend.RoleDecode), HaveField("Role", backend.RoleDecode)))
	g.Expect(roles.Policy{}.Plan(allocationOf(0.99))).To(BeEmpty(), "not above the target")
}

// manyEngines returns an allocation with the given numbers of engines.
func manyEngines(prefill, decode int, demand *roles.Demand) roles.Allocation {
	allocation := roles.Allocation{Demand: demand}
	for i := range prefill {
		allocation.Prefill = append(allocation.Prefill, "p"+strconv.Itoa(i))
	}
	for i := range decode {
		allocation.Decode = append(allocation.Decode, "d"+strconv.Itoa(i))
	}
	return allocation
}

// TestNinetyEnginesReachInitialShareBeforeFirstBurst has two prefill engines more than the initial
// share before the demand is known. If they stayed, they would change in the middle of the first
// burst.
func TestNinetyEnginesReachInitialShareBeforeFirstBurst(t *testing.T) {
	g := NewWithT(t)
	planned := roles.Policy{}.Plan(manyEngines(32, 58, nil))
	g.Expect(planned).To(HaveLen(2))
	g.Expect(planned[0].Role).To(Equal(backend.RoleDecode))
}

// TestLightlyLoadedServiceIsUnchanged has thousands of engines of which hardly any is busy: no
// order makes anything faster, and each makes its engine unavailable for some seconds. The same
// load on few engines does cause changes.
func TestLightlyLoadedServiceIsUnchanged(t *testing.T) {
	g := NewWithT(t)
	for _, total := range []int{8650, 17_300} {
		prefill := total * 35 / 100
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, nil))).To(BeEmpty(), "before the demand is known")
		light := &roles.Demand{Prefill: 4, Decode: 60}
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, light))).To(BeEmpty())
		busy := &roles.Demand{Prefill: float64(prefill), Decode: float64(total) / 4}
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, busy))).NotTo(BeEmpty(), "prompts wait")
	}
	few := &roles.Demand{Prefill: 0.3, Decode: 4}
	g.Expect(roles.Policy{}.Plan(manyEngines(12, 12, few))).NotTo(BeEmpty(), "half of 24 engines for a tenth of the work")
}
