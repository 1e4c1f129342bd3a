package roles

import (
	"math"
	"sort"

	"github.com/reelrun/reelrun/backend"
)

// Division is how the engines of a service are divided.
type Division struct {
	Prefill []string
	Decode  []string
}

// Change is one engine that is to take another role.
type Change struct {
	Engine string
	Role   backend.Role
}

// Policy is how engines are to be divided.
type Policy struct {
	// PrefillShare is the share of the engines that read prompts. Default 0.33.
	PrefillShare float64
}

const defaultPrefillShare = 0.33

// Plan returns the change that brings a division closer to the policy, or nil.
// One engine at least keeps each role.
func (p Policy) Plan(division Division) *Change {
	share := p.PrefillShare
	if share == 0 {
		share = defaultPrefillShare
	}
	total := len(division.Prefill) + len(division.Decode)
	const leastEngines = 2
	if total < leastEngines {
		return nil
	}
	wanted := max(1, int(math.Round(float64(total)*share)))
	switch {
	case len(division.Prefill) > wanted && len(division.Prefill) > 1:
		return &Change{Engine: last(division.Prefill), Role: backend.RoleDecode}
	case len(division.Prefill) < wanted && len(division.Decode) > 1:
		return &Change{Engine: last(division.Decode), Role: backend.RolePrefill}
	default:
		return nil
	}
}

func last(ids []string) string {
	sorted := append([]string(nil), ids...)
	sort.Strings(sorted)
	return sorted[len(sorted)-1]
}
