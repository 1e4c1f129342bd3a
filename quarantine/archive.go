package quarantine

import (
	"context"
	"log/slog"
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
	// reloadInterval is how often the store's objects are read: an operator ends a quarantine by
	// removing its object. One call a minute over the whole fleet.
	reloadInterval = time.Minute
)

// Archive keeps the quarantines of a keeper in the platform's store, so that they outlive all nodes:
// without it, a request that has ended three back ends may end three more after each loss of all.
// Its methods are called by one goroutine.
type Archive struct {
	store  objectapi.Store
	keeper *Coordinator
	logger *slog.Logger
	// wall reads the time of day.
	wall func() time.Time
	// loaded is set once the store's objects have been read since this node became the keeper.
	loaded bool
	// loadedAt is when that was, by the keeper's clock.
	loadedAt time.Duration
	// unread is set while the store's objects cannot be read.
	unread bool
	// versions are those of the store's objects by their names.
	versions map[string]int64
}

// NewArchive returns an archive that has read nothing.
func NewArchive(store objectapi.Store, keeper *Coordinator, logger *slog.Logger, wall func() time.Time) *Archive {
	return &Archive{store: store, keeper: keeper, logger: logger, wall: wall}
}

// Reset has the store's objects read once more: another node may have changed them.
func (a *Archive) Reset() { a.loaded = false }

// Reconcile brings the store's objects to what the keeper keeps away. It costs no call where nothing
// has changed.
func (a *Archive) Reconcile(ctx context.Context) {
	if !a.loaded || a.keeper.options.Now()-a.loadedAt >= reloadInterval {
		err := a.load(ctx)
		a.noteRead(err)
		if err != nil {
			return
		}
	}
	kept := map[string]bool{}
	for _, announcement := range a.keeper.Quarantined() {
		if len(announcement.Backends) < crashesAllowed {
			// It is over before it could be read again.
			continue
		}
		kept[announcement.Request.String()] = true
		if err := a.write(ctx, announcement); err != nil {
			a.logger.Warn("quarantine not written", "content", announcement.Request.String(), "error", err.Error())
		}
	}
	for name := range a.versions {
		if kept[name] {
			continue
		}
		if err := a.remove(ctx, name); err != nil {
			a.logger.Warn("quarantine not removed", "content", name, "error", err.Error())
		}
	}
}

// noteRead logs where the store's objects cannot be read any more, and where they can again.
func (a *Archive) noteRead(err error) {
	if failed := err != nil; failed != a.unread {
		a.unread = failed
		a.logger.Info("quarantines read", "error", logging.ErrorText(err))
	}
}

// load reads the store's objects, and restores the quarantines that last.
func (a *Archive) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	objects, _, err := a.store.List(ctx, Kind)
	if err != nil {
		return errors.Wrap(err, "list quarantines")
	}
	before := a.versions
	a.versions = map[string]int64{}
	for _, object := range objects {
		earlier, err := DecodeRecord(a.wall(), object.Name, object.Spec)
		if err != nil {
			a.logger.Error("quarantine refused", "name", object.Name, "error", err.Error())
			continue
		}
		a.versions[object.Name] = object.Version
		if earlier.Quarantined > 0 {
			a.keeper.Restore(earlier)
		}
	}
	if a.loaded {
		a.endRemoved(before)
	}
	a.loaded, a.loadedAt = true, a.keeper.options.Now()
	return nil
}

// endRemoved ends the quarantines whose objects somebody else has removed.
func (a *Archive) endRemoved(before map[string]int64) {
	for name := range before {
		request, valid := ParseFingerprint(name)
		if _, stored := a.versions[name]; valid && !stored {
			a.keeper.End(request)
		}
	}
}

// write writes a quarantine, unless the store has it.
func (a *Archive) write(ctx context.Context, kept Announcement) error {
	name, spec, err := EncodeRecord(a.wall(), kept)
	if err != nil {
		return err
	}
	if _, stored := a.versions[name]; stored {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	written, err := a.store.Put(ctx, objectapi.Object{Kind: Kind, Name: name, Spec: spec})
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier keeper has written it, or this one without hearing so.
		a.loaded = false
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "write quarantine")
	}
	a.versions[name] = written.Version
	return nil
}

// remove removes an object whose quarantine is over.
func (a *Archive) remove(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := a.store.Delete(ctx, Kind, name, a.versions[name])
	if errors.Is(err, objectapi.ErrConflict) {
		a.loaded = false
		return nil
	}
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return errors.Wrap(err, "remove quarantine")
	}
	delete(a.versions, name)
	return nil
}
