package router

import (
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/replica"
	"github.com/reelrun/reelrun/softwareversions"
)

// changed applies a newer version of an object. The replica calls it, one change at a time.
func (r *Router) changed(change replica.Change) {
	// A node that does not watch the store learns of a restore by what others send it.
	r.StoreEpoch(objectapi.EpochOf(change.Record.Object.Version))
	switch change.Record.Object.Kind {
	case r.options.Environment.ConfigurationKind:
		r.configurationChanged(change)
	case r.options.Environment.BackendKind:
		r.backendChanged(change)
	case kindNode:
		if change.Record.Deleted && change.Record.Object.Name == r.options.Settings.Name {
			r.ownObjectRemoved()
		}
		if err := r.nodes.apply(change.Record); err != nil {
			r.metrics.Add("nodes_refused", 1)
			r.options.Logger.Error("node object rejected", "name", change.Record.Object.Name, "error", err.Error())
		}
		r.logOtherBuild(change.Record.Object.Name)
	case quarantine.Kind:
		r.handleQuarantine(change)
	case softwareversions.Kind:
		r.handleVersions(change)
	case kindRoleChange:
		r.handleRoleChange(change)
	case kindCutOff:
		r.handleCutOff(change)
	}
	if r.mustPush(change.Record.Key()) {
		r.syncer.Changed(change)
	}
}

// mustPush reports whether a change must be pushed to other nodes. The changes that a node applies while it starts
// are not: the others already have them, or receive them at the same time, and if all nodes start together, each
// would push each object to others. The configuration and the node's own object are always pushed.
func (r *Router) mustPush(changed replica.Key) bool {
	switch {
	case r.syncer == nil:
		return false
	case changed.Kind == r.options.Environment.ConfigurationKind:
		return true
	case changed.Kind == kindNode && changed.Name == r.options.Settings.Name:
		return true
	default:
		return r.backends.Synced()
	}
}

func (r *Router) configurationChanged(change replica.Change) {
	if change.Record.Deleted {
		return
	}
	object := change.Record.Object
	began := time.Now()
	decoded, err := r.options.Environment.DecodeConfiguration(object)
	if err != nil {
		r.options.Logger.Error("configuration refused", "revision", objectapi.RevisionOf(object.Version), "epoch", objectapi.EpochOf(object.Version),
			"bytes", len(object.Spec), "error", err.Error())
		return
	}
	if r.gateway.Configure(decoded) {
		r.recordActiveRevision(object)
		r.options.Logger.Info("configuration in force", "version", decoded.Version, "revision", objectapi.RevisionOf(object.Version), "epoch", objectapi.EpochOf(object.Version),
			"routes", decoded.RouteCount(), "bytes", len(object.Spec), "decode_ms", time.Since(began).Milliseconds(),
			"source", string(change.Source))
		return
	}
	if decoded.Version == r.gateway.Configuration().Version {
		// The operator has written the active configuration again, after a restore of the store.
		r.recordActiveRevision(object)
	}
}

// isNotable reports whether a change of a backend is logged. A starting node applies thousands, and logs their
// number once it has all; a new backend is logged by the nodes that receive it from the store.
func (r *Router) isNotable(isNew bool, source replica.Source) bool {
	return r.backends.Synced() && (!isNew || source == replica.SourceStore)
}

func (r *Router) backendChanged(change replica.Change) {
	object := change.Record.Object
	if change.Record.Deleted {
		r.rejected.accepted(object.Name)
		if r.backends.RemoveRegistered(object.Name) {
			r.options.Logger.Info("back end gone", "backend", object.Name, "revision", objectapi.RevisionOf(object.Version), "epoch", objectapi.EpochOf(object.Version), "source", string(change.Source))
		}
		return
	}
	decoded, err := r.options.Environment.DecodeBackend(object)
	if err != nil {
		// The entry may describe a known backend, which must receive no new work while its entry is invalid.
		r.backends.RemoveRegistered(object.Name)
		r.metrics.Add("backends_refused", 1)
		if r.rejected.first(object.Name) {
			r.options.Logger.Error("back end refused", "backend", object.Name, "revision", objectapi.RevisionOf(object.Version), "epoch", objectapi.EpochOf(object.Version),
				"bytes", len(object.Spec), "error", err.Error())
		}
		return
	}
	r.rejected.accepted(object.Name)
	isNew := r.backends.Lookup(decoded.ID) == nil
	if r.backends.Update(decoded) && r.isNotable(isNew, change.Source) {
		r.options.Logger.Info("back end changed", "backend", decoded.ID, "service", decoded.Service, "state", string(decoded.State),
			"role", string(decoded.Role), "version", decoded.SoftwareVersion, "revision", objectapi.RevisionOf(object.Version), "epoch", objectapi.EpochOf(object.Version), "source", string(change.Source))
	}
}
