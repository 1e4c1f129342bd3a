package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/ledger"
)

// ofVersion returns the engines of one software version.
func (e Engines) ofVersion(version string) Engines {
	selected := e
	selected.Decode = make([]ledger.Engine, 0, len(e.Decode))
	for _, engine := range e.Decode {
		if e.VersionOf(engine.ID) == version {
			selected.Decode = append(selected.Decode, engine)
		}
	}
	selected.Prefill = make([]string, 0, len(e.Prefill))
	for _, engine := range e.Prefill {
		if e.VersionOf(engine) == version {
			selected.Prefill = append(selected.Prefill, engine)
		}
	}
	return selected
}

// versionGroup are the engines of a service that have one software version. What engines of two versions write does not
// fit together, so a prompt is prefilled by an engine of the version that decodes.
type versionGroup struct {
	version string
	engines Engines
	// isScarce is set if another version has more decode engines, for a request that both can serve. Such a request leaves
	// capacity for another one: streams of the scarce version can continue nowhere else, and few of its runs end in the
	// time that they wait.
	isScarce bool
}

// groupByVersion groups engines. If all have one version, which is the usual case, the group is the given list itself.
func groupByVersion(engines Engines) []versionGroup {
	switch len(engines.Versions) {
	case 0:
		return []versionGroup{{engines: engines}}
	case 1:
		return []versionGroup{{version: engines.Versions[0], engines: engines}}
	}
	groups := make([]versionGroup, len(engines.Versions))
	for i, version := range engines.Versions {
		groups[i] = versionGroup{version: version, engines: engines.ofVersion(version)}
	}
	return groups
}

// candidateGroups returns the groups in which a request may be served, in the order in which they are tried: those whose
// decode engines have the largest share of free memory first. Those with fewer engines than another one are scarce.
func candidateGroups(now time.Duration, groups []versionGroup, decode *ledger.Ledger, allowed backend.VersionConstraint) []versionGroup {
	var candidates []versionGroup
	most := 0
	for _, group := range groups {
		if allowed.Allows(group.version) && len(group.engines.Decode) > 0 {
			candidates = append(candidates, group)
			most = max(most, len(group.engines.Decode))
		}
	}
	if len(candidates) < 2 { //nolint:mnd // nothing to sort
		return candidates
	}
	memoryShares := map[string]float64{}
	for i, group := range candidates {
		candidates[i].isScarce = len(group.engines.Decode) < most
		decode.SetEngines(group.engines.Decode)
		memoryShares[group.version] = decode.MemoryShare(now)
	}
	slices.SortStableFunc(candidates, func(a, b versionGroup) int {
		return cmp.Compare(memoryShares[a.version], memoryShares[b.version])
	})
	return candidates
}

// withCapacityForAnother returns a run that fits where the given one and another one like it do.
func withCapacityForAnother(run ledger.Run) ledger.Run {
	const both = 2
	run.Prompt *= both
	run.Output *= both
	run.MaxOutput *= both
	return run
}
