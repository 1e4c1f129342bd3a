package quarantine

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/logging"
	"github.com/reelrun/reelrun/objectapi"
)

// Kind is the kind of the objects that hold one quarantine each.
const Kind objectapi.Kind = "quarantines"

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// reloadInterval is how often the store's objects are read: an operator ends a quarantine by removing its
	// object. One call a minute over the whole fleet.
	reloadInterval = time.Minute
	// seriesReloadInterval is how often they are read within seriesTime of a crash: in a partitioned network each part of the
	// nodes has a coordinator, and another one may have quarantined the cause. Two calls a second by each coordinator, while
	// backends crash.
	seriesReloadInterval = 500 * time.Millisecond
	seriesTime           = 10 * time.Second
	// checkStoreInterval is how often the coordinator checks that the store has all quarantines, and seriesCheckInterval how
	// often within seriesTime of a crash. A check makes no call if nothing has changed.
	checkStoreInterval  = time.Second
	seriesCheckInterval = 250 * time.Millisecond
	// rewriteAfter is how much longer a quarantine must have become to be written again.
	rewriteAfter = 10 * time.Second
	// maxTrialWrites bounds the trials that one check records.
	maxTrialWrites = 16
)

// Archive persists a coordinator's quarantines in the platform's store, so that they survive the loss of all
// nodes: without it, a request that has crashed three backends could crash three more after each such loss. Its
// methods are called by one goroutine.
type Archive struct {
	store       objectapi.Store
	coordinator *Coordinator
	logger      *slog.Logger
	// wall reads the wall clock.
	wall func() time.Time
	// loaded is set once the store's objects have been read since this node became the coordinator.
	loaded bool
	// stale is set if another writer may have changed the store's objects since they were read.
	stale bool
	// loadedAt is when they were read last, by the coordinator's clock.
	loadedAt time.Duration
	// epoch is the store's epoch as of then.
	epoch int64
	// unreadable is set while the store's objects cannot be read, and unwritten if the last check could not write one.
	unreadable bool
	unwritten  bool
	// stored are the store's objects, by name.
	stored map[string]storedQuarantine
}

// storedQuarantine is what an object of the store says of a quarantine.
type storedQuarantine struct {
	version int64
	ends    time.Time
	// parts are the parts of prompts that it is about.
	parts []Fingerprint
	// crashes is the number of crashes.
	crashes int
}

// storedOf returns what the object of a quarantine says.
func (a *Archive) storedOf(version int64, written Announcement) storedQuarantine {
	return storedQuarantine{
		version: version, ends: a.wall().Add(written.Quarantined), parts: written.Parts, crashes: len(written.Backends),
	}
}

// NewArchive returns an archive that has read nothing.
func NewArchive(store objectapi.Store, coordinator *Coordinator, logger *slog.Logger, wall func() time.Time) *Archive {
	return &Archive{store: store, coordinator: coordinator, logger: logger, wall: wall}
}

// Reset makes the next Reconcile read the store's objects again: another node, or a restore, may have changed them.
func (a *Archive) Reset() { a.loaded = false }

// Interval returns how long after the last check the next one is due. In a series of crashes that is sooner, unless the
// store did not answer.
func (a *Archive) Interval() time.Duration {
	if a.unreadable || a.unwritten || !a.coordinator.crashedWithin(seriesTime) {
		return checkStoreInterval
	}
	return seriesCheckInterval
}

// Reconcile makes the store's objects match the coordinator's quarantines. It makes no call if nothing has
// changed.
func (a *Archive) Reconcile(ctx context.Context) {
	if !a.loaded || a.stale || a.coordinator.options.Now()-a.loadedAt >= a.reloadDue() {
		err := a.load(ctx)
		a.noteRead(err)
		if err != nil {
			return
		}
	}
	a.unwritten = false
	active := map[string]bool{}
	quarantined := a.coordinator.Quarantined()
	for _, announcement := range quarantined {
		if len(announcement.Backends) < quarantineCrashes {
			// Such a short quarantine ends before another coordinator could read it.
			continue
		}
		active[announcement.Request.String()] = true
		if err := a.write(ctx, announcement); err != nil {
			a.unwritten = true
			a.logger.Warn("quarantine not written", "content", announcement.Request.String(), "error", err.Error())
		}
	}
	a.recordTrials(ctx)
	for name := range a.stored {
		if active[name] || a.isCovered(name, quarantined) {
			continue
		}
		if err := a.remove(ctx, name); err != nil {
			a.unwritten = true
			a.logger.Warn("quarantine not removed", "content", name, "error", err.Error())
		}
	}
}

// reloadDue returns how long after the last time the store's objects are read again.
func (a *Archive) reloadDue() time.Duration {
	if a.coordinator.crashedWithin(seriesTime) {
		return seriesReloadInterval
	}
	return reloadInterval
}

// isCovered reports whether an object is about requests that a quarantine of fewer parts is about as well. It stays until its
// end: another coordinator, which may have written it, would take its removal for an operator's.
func (a *Archive) isCovered(name string, quarantined []Announcement) bool {
	larger := a.stored[name]
	if !a.wall().Before(larger.ends) {
		return false
	}
	return slices.ContainsFunc(quarantined, func(smaller Announcement) bool {
		return len(smaller.Parts) > 0 && containsAll(larger.parts, smaller.Parts)
	})
}

// noteRead logs when the store's objects become unreadable, and when they can be read again.
func (a *Archive) noteRead(err error) {
	if failed := err != nil; failed != a.unreadable {
		a.unreadable = failed
		a.logger.Info("quarantines read", "error", logging.ErrorText(err))
	}
}

// load reads the store's objects, and restores the quarantines that are still active.
func (a *Archive) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, revision, err := a.store.List(ctx, Kind)
	if err != nil {
		return errors.Wrap(err, "list quarantines")
	}
	before, epoch := a.stored, objectapi.EpochOf(revision)
	a.stored = map[string]storedQuarantine{}
	for _, object := range objects {
		earlier, err := DecodeRecord(a.wall(), object.Name, object.Spec)
		if err != nil {
			a.logger.Error("quarantine object rejected", "name", object.Name, "error", err.Error())
			continue
		}
		a.stored[object.Name] = a.storedOf(object.Version, earlier)
		if earlier.Quarantined > 0 && (!a.loaded || before[object.Name].version != object.Version) {
			a.coordinator.Restore(earlier)
		}
	}
	// Objects that are missing in a restored store were not removed by a writer; they are written again.
	if a.loaded && epoch == a.epoch {
		a.endRemoved(before)
	}
	a.loaded, a.stale, a.loadedAt, a.epoch = true, false, a.coordinator.options.Now(), epoch
	return nil
}

// endRemoved ends the quarantines whose objects were removed by another writer.
func (a *Archive) endRemoved(before map[string]storedQuarantine) {
	for name := range before {
		request, valid := ParseFingerprint(name)
		if _, stored := a.stored[name]; valid && !stored {
			a.coordinator.End(request)
		}
	}
}

// recordTrials records the trials that are due, before any of them is granted.
func (a *Archive) recordTrials(ctx context.Context) {
	due := a.coordinator.dueTrials()
	for _, next := range due[:min(len(due), maxTrialWrites)] {
		if _, stored := a.stored[next.Request.String()]; !stored || a.stale {
			continue
		}
		if err := a.put(ctx, next); err != nil {
			a.unwritten = true
			a.logger.Warn("trial not recorded", "content", next.Request.String(), "error", err.Error())
			return
		}
		if !a.stale {
			a.coordinator.trialRecorded(next)
			a.logger.Info("trial due", "content", next.Request.String(), "crashes", len(next.Backends), "trials", next.Trials)
		}
	}
}

// write writes a quarantine, unless it is in the store already with all its crashes and about the same end. Other coordinators
// decide on trials by the number of crashes.
func (a *Archive) write(ctx context.Context, active Announcement) error {
	stored, isStored := a.stored[active.Request.String()]
	isLonger := a.wall().Add(active.Quarantined).Sub(stored.ends) >= rewriteAfter
	if isStored && !isLonger && len(active.Backends) <= stored.crashes {
		return nil
	}
	return a.put(ctx, active)
}

// put writes a quarantine. If another writer has changed its object, the store's objects are read again, and nothing is written.
func (a *Archive) put(ctx context.Context, active Announcement) error {
	name, spec, err := EncodeRecord(a.wall(), active)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := a.store.Put(ctx, objectapi.Object{Kind: Kind, Name: name, Version: a.stored[name].version, Spec: spec})
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrNotFound) {
		// Another coordinator or an operator has changed it, or this one without receiving the response.
		a.stale = true
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "write quarantine")
	}
	a.stored[name] = a.storedOf(written.Version, active)
	return nil
}

// remove removes the object of a quarantine that has ended.
func (a *Archive) remove(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.store.Delete(ctx, Kind, name, a.stored[name].version)
	if errors.Is(err, objectapi.ErrConflict) {
		a.stale = true
		return nil
	}
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return errors.Wrap(err, "remove quarantine")
	}
	delete(a.stored, name)
	return nil
}
