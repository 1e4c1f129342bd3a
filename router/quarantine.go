package router

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/replica"
)

// archiveInterval is how often the quarantine coordinator asks its archive whether a check of the store is due.
const archiveInterval = 100 * time.Millisecond

// newQuarantines creates the node's parts of the quarantine protocol: the client, the coordinator
// in case this node is selected for it, and the archive in the store.
func (r *Router) newQuarantines() {
	r.quarantineCoordinator = quarantine.NewCoordinator(quarantine.CoordinatorOptions{
		Announce: r.announceQuarantine, Known: r.knownQuarantine, Now: r.now,
	})
	r.quarantines = quarantine.NewClient(quarantine.ClientOptions{
		Coordinators: r.assigner, Peers: r.client, LocalCoordinator: r.quarantineCoordinator, BecameCoordinator: r.adoptQuarantines, Now: r.now,
	})
	r.quarantineArchive = quarantine.NewArchive(r.options.Environment.Store, r.quarantineCoordinator, r.options.Logger, time.Now)
}

// States of a request, part of the version of its record. If nodes on both sides of a network
// partition write a record after the same one, the stricter record is the newer one.
const (
	stateCleared = iota
	stateSuspect
	stateQuarantined
	// stateCount is the difference between the versions of successive records.
	stateCount
)

// announceQuarantine announces the state of a request to all nodes. The record is only exchanged
// between nodes; the archive writes quarantines to the store.
func (r *Router) announceQuarantine(announcement quarantine.Announcement) {
	name, spec, err := quarantine.EncodeRecord(time.Now(), announcement)
	if err != nil {
		r.options.Logger.Error("quarantine not announced", "error", err.Error())
		return
	}
	state, cleared := stateSuspect, !announcement.Status().Suspect()
	switch {
	case cleared:
		state = stateCleared
	case announcement.Quarantined > 0:
		state = stateQuarantined
	}
	object := objectapi.Object{Kind: quarantine.Kind, Name: name, Spec: spec}
	for _, earlier := range r.replica.Records([]replica.Key{{Kind: quarantine.Kind, Name: name}}) {
		object.Version = earlier.Object.Version
	}
	object.Version += stateCount - object.Version%stateCount + int64(state)
	r.replica.Apply(replica.SourceStore, replica.Record{Object: object, Deleted: cleared})
}

// handleQuarantine applies an announcement of the quarantine coordinator.
func (r *Router) handleQuarantine(change replica.Change) {
	object := change.Record.Object
	if change.Record.Deleted {
		object.Spec = []byte("{}")
	}
	announcement, err := quarantine.DecodeRecord(time.Now(), object.Name, object.Spec)
	if err != nil {
		r.options.Logger.Error("quarantine record rejected", "error", err.Error())
		return
	}
	r.quarantines.Announced(announcement)
	r.options.Logger.Info("request standing", "content", object.Name, "crashes", len(announcement.Backends), "backends", announcement.Backends,
		"quarantined_ms", announcement.Quarantined.Milliseconds(), "parts", fingerprintNames(announcement.Parts),
		"exempt", len(announcement.Exempt), "source", string(change.Source))
}

// knownQuarantine returns the last announcement of a request that this node has received.
func (r *Router) knownQuarantine(request quarantine.Fingerprint) (quarantine.Announcement, bool) {
	for _, known := range r.replica.Records([]replica.Key{{Kind: quarantine.Kind, Name: request.String()}}) {
		if known.Deleted {
			continue
		}
		announcement, err := quarantine.DecodeRecord(time.Now(), known.Object.Name, known.Object.Spec)
		return announcement, err == nil
	}
	return quarantine.Announcement{}, false
}

// fingerprintNames returns the names of fingerprints, as logged.
func fingerprintNames(fingerprints []quarantine.Fingerprint) []string {
	names := make([]string, len(fingerprints))
	for i, fingerprint := range fingerprints {
		names[i] = fingerprint.String()
	}
	return names
}

// adoptQuarantines takes over the quarantines that an earlier coordinator has announced.
func (r *Router) adoptQuarantines(context.Context) {
	for _, object := range r.replica.Live(quarantine.Kind) {
		if earlier, err := quarantine.DecodeRecord(time.Now(), object.Name, object.Spec); err == nil {
			r.quarantineCoordinator.Adopt(earlier)
		}
	}
	r.options.Logger.Info("became quarantine coordinator", "requests", len(r.quarantineCoordinator.Quarantined()))
}

// reconcileArchive writes the quarantines to the store while this node coordinates them, until the
// context ends.
func (r *Router) reconcileArchive(ctx context.Context) {
	epoch := r.storeEpoch.Load()
	checkedAt := r.now()
	periodic.Run(ctx, archiveInterval, func(ctx context.Context) {
		if r.now()-checkedAt < r.quarantineArchive.Interval() {
			return
		}
		checkedAt = r.now()
		if newest := r.storeEpoch.Load(); newest != epoch {
			epoch = newest
			r.quarantineArchive.Reset()
		}
		if !r.quarantines.IsCoordinator() {
			r.quarantineArchive.Reset()
			return
		}
		r.quarantineArchive.Reconcile(ctx)
	})
}
