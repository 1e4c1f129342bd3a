package router

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

// now returns the time since the router was created, by which runs, limits and crashes are measured.
func (r *Router) now() time.Duration { return r.options.Clock.Since(r.origin) }

// handlePeer answers the calls of other nodes.
func (r *Router) handlePeer(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch request.GetBody().(type) {
	case *peerpb.Request_CompareReplicas, *peerpb.Request_CompareParts, *peerpb.Request_ExchangeObjects,
		*peerpb.Request_FetchChunks:
		return r.syncer.Handle(ctx, request)
	case *peerpb.Request_AssignEngines, *peerpb.Request_EndRun, *peerpb.Request_SyncRuns,
		*peerpb.Request_PromptRead, *peerpb.Request_EngineFailed:
		r.countReportedFailure(request)
		return r.coordinator.Handle(ctx, request)
	case *peerpb.Request_ChargeQuota:
		return r.quotas.Handle(request)
	case *peerpb.Request_ChargeBackend:
		return r.limits.Handle(request)
	case *peerpb.Request_ReportCrashes, *peerpb.Request_AnnounceCrashes:
		return r.quarantines.Handle(request)
	case *peerpb.Request_RecordStream, *peerpb.Request_FindStream:
		return r.streams.Handle(request)
	case *peerpb.Request_ReportLoad:
		return r.admissions.Handle(request)
	default:
		return nil, peer.ErrUnknownCall
	}
}

// plainSlots returns the number of concurrent requests of each backend of a plain service.
func (r *Router) plainSlots(service string) map[string]int {
	slots := map[string]int{}
	for _, entry := range r.backends.Ready(service, backend.RoleNone) {
		slots[entry.Backend().ID] = entry.Backend().Slots
	}
	return slots
}

// minCapacityShare is the share of the strongest node's capacity that a node needs to coordinate.
const minCapacityShare = 0.75

// Candidates implements coordinator.Fleet. A node is a candidate while it has an object in the store, so that all
// nodes agree: not before it has registered, and no longer once it has withdrawn. Nodes with little capacity are
// no candidates, nor are nodes whose build lacks the capability. Where less than half of the fleet is responsive
// there is no candidate, because the other, larger part of the fleet has its own.
func (r *Router) Candidates(scope string) []coordinator.Node {
	return r.fleet().candidates[capabilityFor(scope)]
}

// Own implements coordinator.Fleet.
func (r *Router) Own() string { return r.options.Settings.PeerAddress }

// Unresponsive implements coordinator.Fleet.
func (r *Router) Unresponsive(address string, err error) { r.syncer.ReportFailure(address, err) }

// shortlistSize is the number of engines of each role that are sampled for a request before all engines are
// considered: this many of the whole service, and as many again in the zone of the request's node.
const shortlistSize = 48

// fullScanLimit is the number of engines of a role up to which all are considered instead of a sample. Where the
// engines are full, a sample fails and all are considered after it; the coordinator of a full service has the least
// time for this extra step.
const fullScanLimit = 160

// engines returns the engines of a service that accept new work.
func (r *Router) engines(service string) coordinator.Engines {
	return r.describeEngines(service, func(role backend.Role) ([]*backend.Entry, bool) {
		return r.backends.Ready(service, role), true
	})
}

// shortlist returns a sample of the engines of a service that accept new work, for a node in a zone.
func (r *Router) shortlist(service, zone string) coordinator.Engines {
	return r.describeEngines(service, func(role backend.Role) ([]*backend.Entry, bool) {
		options := backend.SampleOptions{Service: service, Role: role, Count: shortlistSize, AllUpTo: fullScanLimit}
		sampled, isComplete := r.backends.Sample(options, rand.IntN)
		if isComplete || zone == "" {
			return sampled, isComplete
		}
		options.Zone = zone
		sameZone, _ := r.backends.Sample(options, rand.IntN)
		return backend.Union(sampled, sameZone), false
	})
}

// describeEngines describes engines of a service, given the backends of each role and whether these are all of
// them.
func (r *Router) describeEngines(service string, readyIn func(role backend.Role) ([]*backend.Entry, bool)) coordinator.Engines {
	engines := coordinator.Engines{ZoneOf: r.zoneOfBackend, VersionOf: r.versionOfBackend}
	configuration := r.gateway.Configuration()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].Engine == nil {
		return engines
	}
	profile := configuration.Services[service].Engine
	versions := distinctVersions{}
	decode, allDecode := readyIn(backend.RoleDecode)
	engines.Decode = make([]ledger.Engine, 0, len(decode))
	for _, entry := range decode {
		if r.assignable(entry) {
			versions.note(entry)
			engines.Decode = append(engines.Decode, ledger.Engine{ID: entry.ID(), Memory: profile.MemoryTokens, Slots: profile.Slots})
		}
	}
	prefill, allPrefill := readyIn(backend.RolePrefill)
	engines.Prefill = make([]string, 0, len(prefill))
	for _, entry := range prefill {
		if r.assignable(entry) {
			versions.note(entry)
			engines.Prefill = append(engines.Prefill, entry.ID())
		}
	}
	engines.Versions = slices.Sorted(maps.Keys(versions))
	engines.Complete = allDecode && allPrefill
	return engines
}

// distinctVersions are the software versions of some backends.
type distinctVersions map[string]struct{}

func (v distinctVersions) note(entry *backend.Entry) { v[entry.Backend().SoftwareVersion] = struct{}{} }

// zoneOfBackend returns the zone of a backend, or "" if it is not known.
func (r *Router) zoneOfBackend(id string) string {
	entry := r.backends.Lookup(id)
	if entry == nil {
		return ""
	}
	return entry.Backend().Zone
}

// versionOfBackend returns the version of a backend's software, or "" if it is not known.
func (r *Router) versionOfBackend(id string) string {
	entry := r.backends.Lookup(id)
	if entry == nil {
		return ""
	}
	return entry.Backend().SoftwareVersion
}

// assignable reports whether an engine may be given new work. Failing engines are excluded by the coordinator,
// which has the failures that all nodes report.
func (r *Router) assignable(entry *backend.Entry) bool {
	return !r.roles.Changing(entry.Backend().ID)
}

// Services implements coordinator.Fleet.
func (r *Router) Services() []string {
	configuration := r.gateway.Configuration()
	if configuration == nil || !r.backends.Synced() {
		return nil
	}
	var services []string
	for name, service := range configuration.Services {
		if service.Engine != nil {
			services = append(services, name)
		}
	}
	return services
}

// coordinatedServices returns the engine services that this node coordinates.
func (r *Router) coordinatedServices() []string {
	var services []string
	for _, name := range r.Services() {
		var addresses []string
		for _, candidate := range r.Candidates(name) {
			addresses = append(addresses, candidate.Address)
		}
		if placement.Owner(name, addresses) == r.Own() {
			services = append(services, name)
		}
	}
	return services
}
