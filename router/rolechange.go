package router

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/roles"
)

const (
	// leaseRoles names the lease under which roles are ordered.
	leaseRoles = "roles"
	// leaseFactor is how much longer the lease lasts than engines ask for.
	leaseFactor = 2
)

// newRoleController returns the controller of the engines' roles.
func (r *Router) newRoleController() *roles.Controller {
	return roles.New(roles.Options{
		Dialect:  r.options.Environment.Dialect,
		Backends: r.backends,
		Lease: lease.New(lease.Options{
			Store: r.options.Environment.Store, Name: leaseRoles,
			Holder:   r.options.Settings.Name + "/" + strconv.FormatInt(r.started.UnixNano(), 10),
			Duration: leaseFactor * r.options.Settings.LeaseDuration,
			// A holder that was suspended finds its lease lapsed as it wakes, and sends no order
			// beside the next holder's.
			Now: r.options.Clock.Exact,
		}),
		Holder:   r.options.Settings.Name,
		Services: r.coordinatedServices,
		Demand:   r.demand,
		Announce: r.announceRole,
		Withdraw: r.withdrawRole,
		Now:      r.options.Clock.Now,
		Logger:   r.options.Logger,
	})
}

// demand returns the demand on a service that this node coordinates.
func (r *Router) demand(service string) (*roles.Demand, map[string]int) {
	runs := r.coordinator.Runs(service)
	measured, known := r.coordinator.Demand(service)
	if !known {
		return nil, runs
	}
	return &roles.Demand{Prefill: measured.Prefill, Decode: measured.Decode, DecodeUtilization: measured.DecodeUtilization}, runs
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
		r.roles.ClearChanging(engine)
		r.options.Logger.Info("role change withdrawn", "engine", engine, "source", string(change.Source))
		return
	}
	var spec roleChangeSpec
	if err := json.Unmarshal(change.Record.Object.Spec, &spec); err != nil {
		r.options.Logger.Error("role change refused", "error", err.Error())
		return
	}
	r.roles.MarkChanging(roles.Change{Engine: spec.Engine, Role: spec.Role})
	r.options.Logger.Info("role change announced", "engine", spec.Engine, "role", string(spec.Role), "source", string(change.Source))
}
