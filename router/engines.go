package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
)

// now reads the clock by which runs, limits and crashes are counted.
func (r *Router) now() time.Duration { return r.options.Clock.Since(r.origin) }

// handlePeer answers another node.
func (r *Router) handlePeer(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch request.GetBody().(type) {
	case *peerpb.Request_CompareReplicas, *peerpb.Request_CompareParts, *peerpb.Request_ExchangeObjects,
		*peerpb.Request_FetchChunks:
		return r.syncer.Handle(ctx, request)
	case *peerpb.Request_AssignEngines, *peerpb.Request_EndRun, *peerpb.Request_SyncRuns,
		*peerpb.Request_PromptRead, *peerpb.Request_EngineFailed:
		return r.coordinator.Handle(ctx, request)
	case *peerpb.Request_ChargeQuota:
		return r.quotas.Handle(request)
	case *peerpb.Request_ReportCrashes, *peerpb.Request_AnnounceCrashes:
		return r.quarantines.Handle(request)
	case *peerpb.Request_ReportLoad:
		return r.admissions.Handle(request)
	default:
		return nil, peer.ErrUnknownCall
	}
}

// plainSlots returns how many requests each back end of a plain service works on at once.
func (r *Router) plainSlots(service string) map[string]int {
	slots := map[string]int{}
	for _, entry := range r.backends.Ready(service, backend.RoleNone) {
		slots[entry.Backend().ID] = entry.Backend().Slots
	}
	return slots
}

// strongShare is the share of the strongest node's capacity from which a node
// coordinates.
const strongShare = 0.75

// Candidates implements coordinator.Fleet. A node coordinates as long as it has an
// object in the store, as the others see it as well: not before it has registered,
// and no longer once it has withdrawn. Weak nodes do not, and there is no candidate
// where less than half of the fleet answers: the greater part has another one. Nor do nodes whose
// build does not know the role.
func (r *Router) Candidates(scope string) []coordinator.Node {
	return r.fleet().candidates[abilityFor(scope)]
}

// Own implements coordinator.Fleet.
func (r *Router) Own() string { return r.options.Settings.PeerAddress }

// Unresponsive implements coordinator.Fleet.
func (r *Router) Unresponsive(address string, err error) { r.syncer.ReportFailure(address, err) }

// shortlistSize is how many engines of each role are drawn for a request before all are looked at: so many
// of the whole service, and so many in the zone of the request's node.
const shortlistSize = 48

// wholeSize is up to how many engines of a role all are looked at. When they are full, what was drawn is tried for
// nothing and all are looked at besides, and the coordinator of a service has the least time for that.
const wholeSize = 160

// engines returns the engines of a service that take new work.
func (r *Router) engines(service string) coordinator.Engines {
	return r.describeEngines(service, func(role backend.Role) ([]*backend.Entry, bool) {
		return r.backends.Ready(service, role), true
	})
}

// shortlist returns some of them for a node in a zone.
func (r *Router) shortlist(service, zone string) coordinator.Engines {
	return r.describeEngines(service, func(role backend.Role) ([]*backend.Entry, bool) {
		wanted := backend.SampleOptions{Service: service, Role: role, Count: shortlistSize, AllUpTo: wholeSize}
		drawn, isAll := r.backends.Sample(wanted, rand.IntN)
		if isAll || zone == "" {
			return drawn, isAll
		}
		wanted.Zone = zone
		near, _ := r.backends.Sample(wanted, rand.IntN)
		return backend.Union(drawn, near), false
	})
}

// describeEngines describes engines of a service, given back ends of each role and whether these are all.
func (r *Router) describeEngines(service string, readyIn func(role backend.Role) ([]*backend.Entry, bool)) coordinator.Engines {
	engines := coordinator.Engines{ZoneOf: r.zoneOfBackend}
	configuration := r.gateway.Configuration()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].Engine == nil {
		return engines
	}
	profile := configuration.Services[service].Engine
	decode, allDecode := readyIn(backend.RoleDecode)
	engines.Decode = make([]ledger.Engine, 0, len(decode))
	for _, entry := range decode {
		if r.assignable(entry) {
			engines.Decode = append(engines.Decode, ledger.Engine{ID: entry.ID(), Memory: profile.MemoryTokens, Slots: profile.Slots})
		}
	}
	prefill, allPrefill := readyIn(backend.RolePrefill)
	engines.Prefill = make([]string, 0, len(prefill))
	for _, entry := range prefill {
		if r.assignable(entry) {
			engines.Prefill = append(engines.Prefill, entry.ID())
		}
	}
	engines.Complete = allDecode && allPrefill
	return engines
}

// zoneOfBackend returns the zone of a back end by its identifier, empty where that is not known.
func (r *Router) zoneOfBackend(id string) string {
	entry := r.backends.Lookup(id)
	if entry == nil {
		return ""
	}
	return entry.Backend().Zone
}

// assignable reports whether an engine is given new work. Which engines fail, the
// coordinator knows from all nodes.
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

// coordinatedServices returns the services of engines that this node coordinates.
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
