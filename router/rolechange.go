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
	// leaseRoles is the name of the lease that is required to order role changes.
	leaseRoles = "roles"
	// leaseFactor is the lease's duration as a multiple of the duration that engines
	// require.
	leaseFactor = 2
)

// newRoleController returns the controller of the engines' roles.
func (r *Router) newRoleController() *roles.Controller {
	return roles.New(roles.Options{
		EngineClient: r.dialect,
		Backends:     r.backends,
		Lease: lease.New(lease.Options{
			Store: r.options.Environment.Store, Name: leaseRoles,
			Holder:   r.options.Settings.Name + "/" + strconv.FormatInt(r.started.UnixNano(), 10),
			Duration: leaseFactor * r.options.Settings.LeaseDuration,
			// After a suspension, a holder finds its lease expired as soon as it resumes, and
			// sends no order that competes with the next holder's.
			Now:   r.options.Clock.Exact,
			Epoch: r.storeEpoch.Load,
		}),
		Holder:   r.options.Settings.Name,
		Services: r.orderedServices,
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

// kindRoleChange is the kind of the records by which nodes announce orders to each
// other. They are not kept in the store.
const kindRoleChange objectapi.Kind = "rolechanges"

// roleChangeSpec is the content of a role change record.
type roleChangeSpec struct {
	Engine string       `json:"engine"`
	Role   backend.Role `json:"role"`
}

// announceRole announces to all nodes that an engine is about to change its role.
func (r *Router) announceRole(change roles.Change, fencingToken uint64) {
	spec, err := json.Marshal(roleChangeSpec{Engine: change.Engine, Role: change.Role})
	if err != nil {
		r.options.Logger.Error("role change not announced", "error", err.Error())
		return
	}
	record := replica.Record{Object: objectapi.Object{
		Kind: kindRoleChange, Name: roleChangeName(change, fencingToken), Version: versionAnnounced, Spec: spec,
	}}
	r.replica.Apply(replica.SourceStore, record)
}

// Versions of the record of one order.
const (
	versionAnnounced = 1
	versionWithdrawn = 2
)

// roleChangeName returns the name of an order's record, which is unique to the order.
func roleChangeName(change roles.Change, fencingToken uint64) string {
	return change.Engine + "/" + strconv.FormatUint(fencingToken, 10) + "/" + string(change.Role)
}

// withdrawRole announces to all nodes that an announced order will not be sent.
func (r *Router) withdrawRole(change roles.Change, fencingToken uint64) {
	object := objectapi.Object{Kind: kindRoleChange, Name: roleChangeName(change, fencingToken), Version: versionWithdrawn}
	r.replica.Apply(replica.SourceStore, replica.Record{Object: object, Deleted: true})
}

// handleRoleChange applies another node's announcement of an order.
func (r *Router) handleRoleChange(change replica.Change) {
	if change.Record.Deleted {
		engine, _, _ := strings.Cut(change.Record.Object.Name, "/")
		r.roles.ClearChanging(engine)
		r.options.Logger.Info("role change withdrawn", "engine", engine, "source", string(change.Source))
		return
	}
	var spec roleChangeSpec
	if err := json.Unmarshal(change.Record.Object.Spec, &spec); err != nil {
		r.options.Logger.Error("role change record rejected", "error", err.Error())
		return
	}
	r.roles.MarkChanging(roles.Change{Engine: spec.Engine, Role: spec.Role})
	r.options.Logger.Info("role change announced", "engine", spec.Engine, "role", string(spec.Role), "source", string(change.Source))
}
