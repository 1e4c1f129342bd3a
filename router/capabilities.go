package router

import (
	"runtime/debug"
	"slices"
	"sync"

	"github.com/reelrun/reelrun/backendlimit"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
)

// capability is a role that a build can take for the fleet. Nodes of two builds run side by side during a
// rolling upgrade: a role is only assigned to nodes whose build supports it, because a node that does not
// would answer each call of the role with an error. Where no supporting node is live, each node decides
// locally: it requests reservations from engines in turn for a bounded time, admits all requests to plain
// services, limits tenants and its calls to backends by its equal share of each limit (see quota.LocalLimiter
// and backendlimit.LocalLimiter), and quarantines requests
// by the crashes that it saw and the statuses that it received earlier. A node that reaches no backend rejects its
// callers where no other node opens tunnels, and a node that resumes a stream of which no supporting node has a record
// rejects it. Shares of the retry budget need no
// coordinator: a node without a share sends only as many retries as the ratio allows.
type capability string

const (
	// capabilityServices is the coordination of engines and of plain services.
	capabilityServices capability = "services"
	// capabilityQuotas is the enforcement of the tenants' limits.
	capabilityQuotas capability = "quotas"
	// capabilityQuarantines is the quarantine of requests that crash their backends.
	capabilityQuarantines capability = "quarantines"
	// capabilityRetryShares is to use no more of the retry budget than the node's share in the store.
	capabilityRetryShares capability = "retryShares"
	// capabilityBackendLimits is the enforcement of the limits that backends name.
	capabilityBackendLimits capability = "backendLimits"
	// capabilityTunnels is to connect to backends for nodes that have lost their own link to them.
	capabilityTunnels capability = "tunnels"
	// capabilityStreams is to keep records of where streams began.
	capabilityStreams capability = "streams"
)

// ownCapabilities returns the capabilities of this build.
func ownCapabilities() []capability { return knownCapabilities[:] }

var knownCapabilities = [...]capability{capabilityServices, capabilityQuotas, capabilityQuarantines, capabilityRetryShares, capabilityBackendLimits, capabilityTunnels, capabilityStreams}

// unlistedCapabilities returns the capabilities of builds that do not list theirs: those of the last build
// without a list.
func unlistedCapabilities() []capability {
	return []capability{capabilityServices, capabilityQuotas, capabilityQuarantines}
}

// capabilityFor returns the capability that a node needs for a scope: a service, or one of the scopes that
// are not services.
func capabilityFor(scope string) capability {
	switch scope {
	case quota.Scope:
		return capabilityQuotas
	case quarantine.Scope:
		return capabilityQuarantines
	case backendlimit.Scope:
		return capabilityBackendLimits
	default:
		return capabilityServices
	}
}

// capabilitySet is a bit set of the capabilities that this build knows.
type capabilitySet uint8

// capabilitiesOf returns the set of listed capabilities; nil stands for a build that lists none.
func capabilitiesOf(listed []capability) capabilitySet {
	if listed == nil {
		listed = unlistedCapabilities()
	}
	var set capabilitySet
	for bit, known := range ownCapabilities() {
		if slices.Contains(listed, known) {
			set |= 1 << bit
		}
	}
	return set
}

// hasCapability reports whether the node's build has a capability. Seeds, which are nodes without an
// object, count as builds that list none.
func (n knownNode) hasCapability(required capability) bool {
	bit := slices.Index(ownCapabilities(), required)
	return n.capabilities&(1<<bit) != 0
}

// logOtherBuild logs that a node runs another build: once for each of its starts, when its object changes.
func (r *Router) logOtherBuild(name string) {
	node, known := r.nodes.named(name)
	if own, build := buildName(), r.nodes.buildOf(name); known && build != own {
		r.options.Logger.Info("node of another build", "name", name, "address", node.Address, "build", build, "own_build", own)
	}
}

// unknownBuild is the name of a build that was not made from a commit.
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
