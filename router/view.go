package router

import (
	"time"

	"github.com/reelrun/reelrun/replica"
)

const (
	// lapseWindow is how long after a failure of the store an entry that is gone
	// may only have lapsed, because its back end could not renew it.
	lapseWindow = 4 * time.Second
	// lapseGrace is how long such a back end is still used. Live ones are back in
	// the store about two seconds after it.
	lapseGrace = 1800 * time.Millisecond
)

// changed puts a newer version of an object into force. It is called by the copy,
// one change at a time.
func (r *Router) changed(change replica.Change) {
	switch change.Record.Object.Kind {
	case r.options.Backplane.ConfigurationKind:
		r.configurationChanged(change)
	case r.options.Backplane.BackendKind:
		r.backendChanged(change)
	case kindRoleChange:
		r.roleAnnounced(change)
	}
	if change.Source == replica.SourceStore && r.syncer != nil {
		r.syncer.News()
	}
}

func (r *Router) configurationChanged(change replica.Change) {
	if change.Record.Deleted {
		return
	}
	object := change.Record.Object
	decoded, err := r.options.Backplane.DecodeConfiguration(object)
	if err != nil {
		r.options.Logger.Error("configuration refused", "revision", object.Version, "error", err.Error())
		return
	}
	if r.gateway.Configure(decoded) {
		r.options.Logger.Info("configuration in force", "version", decoded.Version, "revision", object.Version,
			"routes", decoded.RouteCount(), "source", string(change.Source))
	}
}

func (r *Router) backendChanged(change replica.Change) {
	object := change.Record.Object
	if change.Record.Deleted {
		r.backendGone(change)
		return
	}
	decoded, err := r.options.Backplane.DecodeBackend(object)
	if err != nil {
		r.options.Logger.Error("back end refused", "backend", object.Name, "error", err.Error())
		return
	}
	if r.backends.Update(decoded) {
		r.options.Logger.Info("back end changed", "backend", decoded.ID, "service", decoded.Service, "state", string(decoded.State),
			"role", string(decoded.Role), "revision", object.Version, "source", string(change.Source))
	}
	if change.Source == replica.SourcePeer {
		// Another node gives all that it knows at once.
		r.backends.SetSynced()
	}
}

// backendGone stops the use of a back end, at once or, where its entry may only
// have lapsed, a little later.
func (r *Router) backendGone(change replica.Change) {
	object := change.Record.Object
	lapsed := r.contact.disturbed(lapseWindow)
	r.options.Logger.Info("back end gone", "backend", object.Name, "revision", object.Version,
		"source", string(change.Source), "maybe_lapsed", lapsed)
	if !lapsed {
		r.backends.Remove(object.Name)
		return
	}
	time.AfterFunc(lapseGrace, func() {
		for _, record := range r.copy.Records([]replica.Key{change.Record.Key()}) {
			if record.Deleted {
				r.backends.Remove(object.Name)
			}
		}
	})
}
