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
			var division roles.Division
			for id, current := range role {
				if current == backend.RolePrefill {
					division.Prefill = append(division.Prefill, id)
				} else {
					division.Decode = append(division.Decode, id)
				}
			}
			change := policy.Plan(division)
			if change == nil {
				return
			}
			if moved[change.Engine] {
				t.Fatalf("%s moves twice", change.Engine)
			}
			moved[change.Engine] = true
			role[change.Engine] = change.Role
			if len(division.Prefill) == 1 && change.Role == backend.RoleDecode || len(division.Decode) == 1 && change.Role == backend.RolePrefill {
				t.Fatal("a role is lost")
			}
		}
	})
}

func TestNineEnginesKeepThreeForPrompts(t *testing.T) {
	g := NewWithT(t)
	division := roles.Division{Prefill: []string{"a", "b", "c", "d"}, Decode: []string{"e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(division)).To(Equal(&roles.Change{Engine: "d", Role: backend.RoleDecode}))
	division = roles.Division{Prefill: []string{"a", "b", "c"}, Decode: []string{"d", "e", "f", "g", "h", "i"}}
	g.Expect(roles.Policy{}.Plan(division)).To(BeNil())
}
