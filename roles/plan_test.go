package roles_test

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/roles"
)

// TestPlanEnds applies planned changes until there is none, and wants each role
// kept and no engine moved twice.
func TestPlanEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := roles.Policy{PrefillShare: rapid.Float64Range(0.01, 0.99).Draw(t, "share")}
		role := map[string]backend.Role{}
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			role[strconv.Itoa(i)] = rapid.SampledFrom([]backend.Role{backend.RolePrefill, backend.RoleDecode}).Draw(t, "role")
		}
		moved := map[string]bool{}
		for {
			var division roles.Allocation
			for id, current := range role {
				if current == backend.RolePrefill {
					division.Prefill = append(division.Prefill, id)
				} else {
					division.Decode = append(division.Decode, id)
				}
			}
			planned := policy.Plan(division)
			if len(planned) == 0 {
				return
			}
			for _, change := range planned {
				if moved[change.Engine] {
					t.Fatalf("%s moves twice", change.Engine)
				}
				moved[change.Engine] = true
				role[change.Engine] = change.Role
			}
			to := planned[0].Role
			if len(division.Prefill) <= len(planned) && to == backend.RoleDecode || len(division.Decode) <= len(planned) && to == backend.RolePrefill {
				t.Fatal("a role is lost")
			}
		}
	})
}

func TestNineEnginesKeepThreeForPrompts(t *testing.T) {
	g := NewWithT(t)
	division := roles.Allocation{Prefill: []string{"a", "b", "c", "d"}, Decode: []string{"e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(division)).To(Equal([]roles.Change{{Engine: "d", Role: backend.RoleDecode}}))
	division = roles.Allocation{Prefill: []string{"a", "b", "c"}, Decode: []string{"d", "e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(division)).To(BeEmpty())
}

// TestDemandDecides gives nine engines to loads of several kinds.
func TestDemandDecides(t *testing.T) {
	three := []string{"a", "b", "c"}
	six := []string{"d", "e", "f", "g", "h", "i"}
	for name, test := range map[string]struct {
		demand *roles.Demand
		want   []roles.Change
	}{
		"balanced":                {&roles.Demand{Prefill: 1.6, Decode: 3.8}, nil},
		"a burst of both":         {&roles.Demand{Prefill: 3.4, Decode: 8}, nil},
		"slow reading":            {&roles.Demand{Prefill: 2.9, Decode: 2.7}, []roles.Change{{Engine: "i", Role: backend.RolePrefill}}},
		"far too few readers":     {&roles.Demand{Prefill: 4, Decode: 1}, []roles.Change{{Engine: "i", Role: backend.RolePrefill, Urgent: true}}},
		"too little to gain":      {&roles.Demand{Prefill: 0.3, Decode: 6}, nil},
		"nothing asked of decode": {&roles.Demand{Prefill: 2}, []roles.Change{{Engine: "i", Role: backend.RolePrefill, Urgent: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			division := roles.Allocation{Prefill: three, Decode: six, Demand: test.demand}
			NewWithT(t).Expect(roles.Policy{}.Plan(division)).To(Equal(test.want))
		})
	}
}

// TestTheIdlestEngineChanges wants the engine that is free first.
func TestTheIdlestEngineChanges(t *testing.T) {
	g := NewWithT(t)
	division := roles.Allocation{
		Prefill: []string{"a"}, Decode: []string{"b", "c", "d", "e", "f"},
		Demand: &roles.Demand{Prefill: 2, Decode: 2}, Runs: map[string]int{"b": 4, "c": 1, "d": 7, "e": 2, "f": 3},
	}
	g.Expect(roles.Policy{}.Plan(division)).To(HaveExactElements(HaveField("Engine", "c")))
}

// TestPlanByDemandEnds is TestPlanEnds with a demand in place of a share.
func TestPlanByDemandEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := &roles.Demand{Prefill: rapid.Float64Range(0, 50).Draw(t, "prefill"), Decode: rapid.Float64Range(0, 50).Draw(t, "decode")}
		engines := rapid.IntRange(0, 40).Draw(t, "engines")
		reading := rapid.IntRange(0, engines).Draw(t, "of them prefill")
		first := reading
		for steps := 0; ; steps++ {
			division := roles.Allocation{Demand: demand}
			for i := range engines {
				if i < reading {
					division.Prefill = append(division.Prefill, strconv.Itoa(i))
				} else {
					division.Decode = append(division.Decode, strconv.Itoa(i))
				}
			}
			planned := roles.Policy{}.Plan(division)
			if len(planned) == 0 {
				return
			}
			if planned[0].Role == backend.RolePrefill {
				reading += len(planned)
			} else {
				reading -= len(planned)
			}
			if steps > 40 {
				t.Fatalf("does not end, began with %d of %d", first, engines)
			}
			if reading <= 0 || reading >= engines {
				t.Fatal("a role is lost")
			}
		}
	})
}

// TestLargeFleetsDivideMoreFinely has 90 engines in thirds, where a little less than a third
// should read prompts. Nine engines are left as they are.
func TestLargeFleetsDivideMoreFinely(t *testing.T) {
	g := NewWithT(t)
	divided := func(engines int) roles.Allocation {
		scale := float64(engines) / 90
		division := roles.Allocation{Demand: &roles.Demand{Prefill: 14 * scale, Decode: 48 * scale}}
		for i := range engines {
			if i < engines/3 {
				division.Prefill = append(division.Prefill, strconv.Itoa(i))
			} else {
				division.Decode = append(division.Decode, strconv.Itoa(i))
			}
		}
		return division
	}
	g.Expect(roles.Policy{}.Plan(divided(90))).To(HaveEach(HaveField("Role", backend.RoleDecode)))
	g.Expect(roles.Policy{}.Plan(divided(90))).NotTo(BeEmpty())
	g.Expect(roles.Policy{}.Plan(divided(9))).To(BeEmpty())
}

// TestDecodeEnginesThatCannotBeFilledAreMore divides 38 engines for a load whose runs leave a
// quarter of the memory unused.
func TestDecodeEnginesThatCannotBeFilledAreMore(t *testing.T) {
	g := NewWithT(t)
	divided := func(fill float64) roles.Allocation {
		division := roles.Allocation{Demand: &roles.Demand{Prefill: 5.2, Decode: 19.5, DecodeUtilization: fill}}
		for i := range 38 {
			if i < 10 {
				division.Prefill = append(division.Prefill, strconv.Itoa(i))
			} else {
				division.Decode = append(division.Decode, strconv.Itoa(i))
			}
		}
		return division
	}
	g.Expect(roles.Policy{}.Plan(divided(0))).To(BeEmpty())
	g.Expect(roles.Policy{}.Plan(divided(0.72))).To(HaveExactElements(
		HaveField("Role", backend.RoleDecode), HaveField("Role", backend.RoleDecode)))
	g.Expect(roles.Policy{}.Plan(divided(0.99))).To(BeEmpty(), "not above the target")
}

// manyEngines is a division of so many engines, of which a part reads prompts.
func manyEngines(prefill, decode int, demand *roles.Demand) roles.Allocation {
	division := roles.Allocation{Demand: demand}
	for i := range prefill {
		division.Prefill = append(division.Prefill, "p"+strconv.Itoa(i))
	}
	for i := range decode {
		division.Decode = append(division.Decode, "d"+strconv.Itoa(i))
	}
	return division
}

// TestNinetyEnginesAreDividedAsWantedBeforeTheFirstBurst has two more engines read prompts than is wanted before the
// demand is known. Left so, they change in the middle of the first burst.
func TestNinetyEnginesAreDividedAsWantedBeforeTheFirstBurst(t *testing.T) {
	g := NewWithT(t)
	planned := roles.Policy{}.Plan(manyEngines(32, 58, nil))
	g.Expect(planned).To(HaveLen(2))
	g.Expect(planned[0].Role).To(Equal(backend.RoleDecode))
}

// TestACalmServiceIsLeftAsItIs has thousands of engines of which hardly any is busy: no order makes anything
// faster, and each costs its engine some seconds. The same load on few engines is divided as before.
func TestACalmServiceIsLeftAsItIs(t *testing.T) {
	g := NewWithT(t)
	for _, total := range []int{8650, 17_300} {
		prefill := total * 35 / 100
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, nil))).To(BeEmpty(), "before the demand is known")
		calm := &roles.Demand{Prefill: 4, Decode: 60}
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, calm))).To(BeEmpty())
		busy := &roles.Demand{Prefill: float64(prefill), Decode: float64(total) / 4}
		g.Expect(roles.Policy{}.Plan(manyEngines(prefill, total-prefill, busy))).NotTo(BeEmpty(), "prompts wait")
	}
	few := &roles.Demand{Prefill: 0.3, Decode: 4}
	g.Expect(roles.Policy{}.Plan(manyEngines(12, 12, few))).NotTo(BeEmpty(), "half of 24 engines for a tenth of the work")
}
