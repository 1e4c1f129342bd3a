package router

import (
	"runtime/debug"
	"slices"
	"sync"

	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
)

// ability is a role that a build can take for all nodes. Nodes of two builds run side by side while a
// fleet is upgraded: a role is only given to nodes whose build knows it, because one that does not
// answers each call of the role by an error. Where no such node lives, each node decides by itself, with
// the bound that it has for that.
type ability string

const (
	// abilityServices is the coordination of engines and of plain services.
	abilityServices ability = "services"
	// abilityQuotas keeps the limits of tenants.
	abilityQuotas ability = "quotas"
	// abilityQuarantines keeps the requests that crash their back ends.
	abilityQuarantines ability = "quarantines"
	// abilityRetryShares is to spend no more of the retry budget than the node's share in the store.
	abilityRetryShares ability = "retryShares"
)

// ownAbilities returns the abilities of this build.
func ownAbilities() []ability { return knownAbilities[:] }

var knownAbilities = [...]ability{abilityServices, abilityQuotas, abilityQuarantines, abilityRetryShares}

// unlistedAbilities returns those of builds that do not list theirs: of the last one that did not.
func unlistedAbilities() []ability {
	return []ability{abilityServices, abilityQuotas, abilityQuarantines}
}

// abilityFor returns what a node must be able to do for what it is chosen for: a service, or one of the
// scopes that are no service.
func abilityFor(scope string) ability {
	switch scope {
	case quota.Scope:
		return abilityQuotas
	case quarantine.Scope:
		return abilityQuarantines
	default:
		return abilityServices
	}
}

// abilitySet holds the abilities that this build knows, a bit each.
type abilitySet uint8

// abilitiesOf returns the set of a node's list, or that of builds without one.
func abilitiesOf(listed []ability) abilitySet {
	if listed == nil {
		listed = unlistedAbilities()
	}
	var set abilitySet
	for bit, known := range ownAbilities() {
		if slices.Contains(listed, known) {
			set |= 1 << bit
		}
	}
	return set
}

// isAble reports whether the build of a node has an ability. Nodes without an object, the seeds, are taken
// to list nothing.
func (n knownNode) isAble(wanted ability) bool {
	bit := slices.Index(ownAbilities(), wanted)
	return n.abilities&(1<<bit) != 0
}

// logOtherBuild writes that a node of another build has been heard of: once for each of its starts, as its
// object changes then.
func (r *Router) logOtherBuild(name string) {
	node, known := r.nodes.named(name)
	if own, build := buildName(), r.nodes.buildOf(name); known && build != own {
		r.options.Logger.Info("node of another build", "name", name, "address", node.Address, "build", build, "own_build", own)
	}
}

// unknownBuild names a build that was not made from a commit.
const unknownBuild = "unknown"

// buildName returns the commit that this build was made from. It does not change while the node runs.
var buildName = sync.OnceValue(readBuildName)

func readBuildName() string {
	info, known := debug.ReadBuildInfo()
	if !known {
		return unknownBuild
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return unknownBuild
}
