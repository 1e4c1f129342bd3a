package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/replica"
)

// archiveInterval is how often the keeper of quarantines looks whether the store has them all.
const archiveInterval = time.Second

// newQuarantines builds the node's part in quarantines: what it knows, the keeper in case it is
// chosen, and the archive in the store.
func (r *Router) newQuarantines() {
	r.quarantineKeeper = quarantine.NewCoordinator(quarantine.CoordinatorOptions{Announce: r.announceQuarantine, Now: r.now})
	r.quarantines = quarantine.NewClient(quarantine.ClientOptions{
		Coordinators: r.assigner, Peers: r.client, Local: r.quarantineKeeper, BecameCoordinator: r.adoptQuarantines, Now: r.now,
	})
	r.quarantineArchive = quarantine.NewArchive(r.options.Environment.Store, r.quarantineKeeper, r.options.Logger, time.Now)
}

// States of a request in the version of its record. Of two records that nodes in a partition made
// after the same one, the stricter is the newer.
const (
	stateCleared = iota
	stateSuspect
	stateQuarantined
	// stateCount is by how much the versions of two records after each other differ.
	stateCount
)

// announceQuarantine tells all nodes of a request. The record travels between nodes only; the store
// has quarantines through the archive.
func (r *Router) announceQuarantine(told quarantine.Announcement) {
	name, spec, err := quarantine.EncodeRecord(time.Now(), told)
	if err != nil {
		r.options.Logger.Error("quarantine not announced", "error", err.Error())
		return
	}
	state, cleared := stateSuspect, !told.Status().Suspect()
	switch {
	case cleared:
		state = stateCleared
	case told.Quarantined > 0:
		state = stateQuarantined
	}
	object := objectapi.Object{Kind: quarantine.Kind, Name: name, Spec: spec}
	for _, earlier := range r.copy.Records([]replica.Key{{Kind: quarantine.Kind, Name: name}}) {
		object.Version = earlier.Object.Version
	}
	object.Version += stateCount - object.Version%stateCount + int64(state)
	r.copy.Apply(replica.SourceStore, replica.Record{Object: object, Deleted: cleared})
}

// quarantineAnnounced takes note of what the keeper tells of a request.
func (r *Router) quarantineAnnounced(change replica.Change) {
	object := change.Record.Object
	if change.Record.Deleted {
		object.Spec = []byte("{}")
	}
	told, err := quarantine.DecodeRecord(time.Now(), object.Name, object.Spec)
	if err != nil {
		r.options.Logger.Error("quarantine refused", "error", err.Error())
		return
	}
	r.quarantines.Announced(told)
	r.options.Logger.Info("request standing", "content", object.Name, "crashes", len(told.Backends), "backends", told.Backends,
		"quarantined_ms", told.Quarantined.Milliseconds(), "source", string(change.Source))
}

// adoptQuarantines takes over what an earlier keeper has announced.
func (r *Router) adoptQuarantines(context.Context) {
	for _, object := range r.copy.Live(quarantine.Kind) {
		if earlier, err := quarantine.DecodeRecord(time.Now(), object.Name, object.Spec); err == nil {
			r.quarantineKeeper.Adopt(earlier)
		}
	}
	r.options.Logger.Info("keeps quarantines", "requests", len(r.quarantineKeeper.Quarantined()))
}

// keepArchive keeps the quarantines in the store while this node is their keeper, until the context
// ends.
func (r *Router) keepArchive(ctx context.Context) {
	periodic.Run(ctx, archiveInterval, func(ctx context.Context) {
		if !r.quarantines.IsCoordinator() {
			r.quarantineArchive.Reset()
			return
		}
		r.quarantineArchive.Reconcile(ctx)
	})
}
