package router

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/ledger"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/placement"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/roles"
)

// now reads the clock by which runs are counted.
func (r *Router) now() time.Duration { return time.Since(r.started) }

// handlePeer answers another node.
func (r *Router) handlePeer(ctx context.Context, request *peerpb.Request) (*peerpb.Response, error) {
	switch request.GetBody().(type) {
	case *peerpb.Request_CompareReplicas, *peerpb.Request_ExchangeObjects:
		return r.syncer.Handle(ctx, request)
	case *peerpb.Request_AssignEngines, *peerpb.Request_EndRun, *peerpb.Request_SyncRuns,
		*peerpb.Request_PromptRead:
		return r.coordinator.Handle(ctx, request)
	default:
		return nil, peer.ErrUnknownCall
	}
}

// strongShare is the share of the strongest node's capacity from which a node
// coordinates.
const strongShare = 0.75

// Candidates implements coordinator.Fleet. A node coordinates as long as it has an
// object in the store, as the others see it as well: not before it has registered,
// and no longer once it has withdrawn. Weak nodes do not, and there is no candidate
// where less than half of the fleet answers: the greater part has another one.
func (r *Router) Candidates() []coordinator.Node {
	var heard []knownNode
	if own, registered := r.ownNode(); registered {
		heard = append(heard, own)
	}
	for _, node := range r.otherNodes() {
		if r.syncer.Responsive(node.Address) {
			heard = append(heard, node)
		}
	}
	if 2*len(heard) < r.nodeCount() {
		return nil
	}
	strongest := 0.0
	for _, node := range heard {
		strongest = max(strongest, node.capacity)
	}
	var candidates []coordinator.Node
	for _, node := range heard {
		if node.capacity >= strongShare*strongest {
			candidates = append(candidates, node.Node)
		}
	}
	return candidates
}

// Own implements coordinator.Fleet.
func (r *Router) Own() string { return r.options.Settings.PeerAddress }

// Silent implements coordinator.Fleet.
func (r *Router) Silent(address string, err error) { r.syncer.Silent(address, err) }

// engines returns the engines of a service that take new work.
func (r *Router) engines(service string) coordinator.Engines {
	var engines coordinator.Engines
	configuration := r.gateway.Configuration()
	if configuration == nil || configuration.Services[service] == nil || configuration.Services[service].Engine == nil {
		return engines
	}
	profile := configuration.Services[service].Engine
	for _, entry := range r.backends.Ready(service, backend.RoleDecode) {
		if r.assignable(entry) {
			engines.Decode = append(engines.Decode, ledger.Engine{ID: entry.Backend().ID, Memory: profile.MemoryTokens, Slots: profile.Slots})
		}
	}
	for _, entry := range r.backends.Ready(service, backend.RolePrefill) {
		if r.assignable(entry) {
			engines.Prefill = append(engines.Prefill, entry.Backend().ID)
		}
	}
	return engines
}

// assignable reports whether an engine is given new work.
func (r *Router) assignable(entry *backend.Entry) bool {
	return entry.Sound() && !r.roles.Changing(entry.Backend().ID)
}

const (
	// leaseRoles names the lease under which roles are ordered.
	leaseRoles = "roles"
	// leaseFactor is how much longer the lease lasts than engines ask for.
	leaseFactor = 2
)

// newRoleController returns the controller of the engines' roles.
func (r *Router) newRoleController() *roles.Controller {
	return roles.New(roles.Options{
		Dialect:  r.options.Backplane.Dialect,
		Backends: r.backends,
		Lease: lease.New(lease.Options{
			Store: r.options.Backplane.Store, Name: leaseRoles,
			Holder:   r.options.Settings.Name + "/" + strconv.FormatInt(r.started.UnixNano(), 10),
			Duration: leaseFactor * r.options.Settings.LeaseDuration,
		}),
		Holder:   r.options.Settings.Name,
		Services: r.coordinatedServices,
		Announce: r.announceRole,
		Withdraw: r.withdrawRole,
		Logger:   r.options.Logger,
	})
}

// kindRoleChange is the kind of the records by which nodes tell each other of
// orders. They are not in the store.
const kindRoleChange objectapi.Kind = "rolechanges"

// roleChangeSpec is the content of such a record.
type roleChangeSpec struct {
	Engine string       `json:"engine"`
	Role   backend.Role `json:"role"`
}

// announceRole tells all nodes that an engine is about to change its role.
func (r *Router) announceRole(change roles.Change, fence uint64) {
	spec, err := json.Marshal(roleChangeSpec{Engine: change.Engine, Role: change.Role})
	if err != nil {
		r.options.Logger.Error("role change not announced", "error", err.Error())
		return
	}
	record := replica.Record{Object: objectapi.Object{
		Kind: kindRoleChange, Name: roleChangeName(change, fence), Version: versionAnnounced, Spec: spec,
	}}
	r.copy.Apply(replica.SourceStore, record)
}

// Versions of the record of one order.
const (
	versionAnnounced = 1
	versionWithdrawn = 2
)

// roleChangeName names the record of an order; the names of two orders differ.
func roleChangeName(change roles.Change, fence uint64) string {
	return change.Engine + "/" + strconv.FormatUint(fence, 10) + "/" + string(change.Role)
}

// withdrawRole tells all nodes that an announced order is not given.
func (r *Router) withdrawRole(change roles.Change, fence uint64) {
	object := objectapi.Object{Kind: kindRoleChange, Name: roleChangeName(change, fence), Version: versionWithdrawn}
	r.copy.Apply(replica.SourceStore, replica.Record{Object: object, Deleted: true})
}

// roleAnnounced takes note of another node's order.
func (r *Router) roleAnnounced(change replica.Change) {
	if change.Record.Deleted {
		engine, _, _ := strings.Cut(change.Record.Object.Name, "/")
		r.roles.Forget(engine)
		r.options.Logger.Info("role change withdrawn", "engine", engine, "source", string(change.Source))
		return
	}
	var spec roleChangeSpec
	if err := json.Unmarshal(change.Record.Object.Spec, &spec); err != nil {
		r.options.Logger.Error("role change refused", "error", err.Error())
		return
	}
	r.roles.Note(roles.Change{Engine: spec.Engine, Role: spec.Role})
	r.options.Logger.Info("role change announced", "engine", spec.Engine, "role", string(spec.Role), "source", string(change.Source))
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
	var addresses []string
	for _, candidate := range r.Candidates() {
		addresses = append(addresses, candidate.Address)
	}
	var services []string
	for _, name := range r.Services() {
		if placement.Owner(name, addresses) == r.Own() {
			services = append(services, name)
		}
	}
	return services
}
