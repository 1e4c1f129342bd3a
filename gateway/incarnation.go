package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/softwareversions"
	"github.com/reelrun/reelrun/streamorigin"
)

// startTimeout bounds the question to a backend when it started. Backends answer it at once, also at capacity.
const startTimeout = 100 * time.Millisecond

// errOutdatedEntry means that a stream began, or may have begun, at a start of its backend that discovery does not describe.
// It may have another version of the software.
var errOutdatedEntry = errors.New("gateway: the entry of the backend is not that of the start that ran the stream")

// errUnconfirmed means that nobody can say any more which start of its backend ran a stream.
var errUnconfirmed = errors.New("gateway: the backend has not confirmed its start")

// errBackingOff means that a backend must receive no calls now.
var errBackingOff = errors.New("gateway: the backend has requested backoff")

// knownVersionOf returns the software version at which a stream began. Where nobody can say any more which start of its
// backend ran it, the version is still known if the service has had a single one.
func (x *exchange) knownVersionOf(ctx context.Context, origin streamorigin.Origin) (string, error) {
	version, err := x.versionOf(ctx, origin)
	if !errors.Is(err, errUnconfirmed) || x.handler.options.SoftwareVersions == nil {
		return version, err
	}
	return x.handler.options.SoftwareVersions.Single(ctx, origin.Service)
}

// versionOf returns the software version of the incarnation that ran the first run of a stream. The origin has the version
// that discovery described then, and the entry of a backend may lag behind its restarts.
func (x *exchange) versionOf(ctx context.Context, origin streamorigin.Origin) (string, error) {
	if origin.Backend == "" || origin.IsConfirmed {
		return origin.Version, nil
	}
	entry := x.handler.options.Backends.Registered(origin.Backend)
	switch {
	case origin.StartedAt == 0:
		return versionWithoutStart(origin, entry)
	case origin.IsUndescribed:
		return versionOfStart(origin, entry)
	case entry == nil:
		return "", errUnconfirmed
	default:
		return origin.Version, x.confirmLater(ctx, entry, origin)
	}
}

// versionWithoutStart returns the version of a stream whose backend does not state its start, and thus has a new identifier
// with each.
func versionWithoutStart(origin streamorigin.Origin, entry *backend.Entry) (string, error) {
	if entry != nil && entry.Backend().SoftwareVersion != origin.Version {
		return "", errOutdatedEntry
	}
	return origin.Version, nil
}

// versionOfStart returns the version of a stream that began at a start which had no entry yet: that of the entry, if this
// describes the start by now.
func versionOfStart(origin streamorigin.Origin, entry *backend.Entry) (string, error) {
	if entry == nil || entry.Backend().StartedAt != origin.StartedAt {
		return "", errOutdatedEntry
	}
	return entry.Backend().SoftwareVersion, nil
}

// confirmLater asks the backend of a stream that has not confirmed its start whether it still runs since that start.
func (x *exchange) confirmLater(ctx context.Context, entry *backend.Entry, origin streamorigin.Origin) error {
	startedAt, err := x.startOf(ctx, entry)
	switch {
	case err != nil:
		return errors.CombineErrors(errUnconfirmed, err)
	case startedAt != 0 && startedAt != origin.StartedAt:
		return errOutdatedEntry
	default:
		return nil
	}
}

// confirmOrigin asks the engine of a stream that has begun for its start, and then sends the origin to other nodes. Later the
// engine may be gone, and its entry no longer be the one of then.
func (x *exchange) confirmOrigin(key streamorigin.Key, origin streamorigin.Origin, entry *backend.Entry) {
	if _, limited := entry.RequestLimit(); !limited {
		// The question would use up a small limit.
		startedAt, err := x.startOf(context.Background(), entry)
		origin = origin.Started(startedAt, err == nil)
	}
	if versions := x.handler.options.SoftwareVersions; versions != nil && origin.IsUndescribed {
		versions.Undescribed(softwareversions.Start{Service: origin.Service, Backend: origin.Backend, StartedAt: origin.StartedAt})
	}
	x.confirmedOrigin.Store(&origin)
	x.handler.options.Streams.Record(key, origin)
}

// startOf asks a backend when it started, in Unix milliseconds; zero if the backend does not state it.
func (x *exchange) startOf(ctx context.Context, entry *backend.Entry) (int64, error) {
	if entry.BackoffRemaining() > 0 {
		return 0, errBackingOff
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return x.handler.options.Dialect.StartedAt(ctx, entry.Backend())
}

// confirmIncarnation reports whether a reserved engine is known to have the version that the request requires: that it has
// not restarted since its entry was written. It is called before the prompt is prefilled, which would be in vain otherwise,
// and once the run has started.
func (x *exchange) confirmIncarnation(ctx context.Context, reserved *reservedEngine) bool {
	described := reserved.entry.Backend()
	if _, required := x.version.Version(); !required || described.StartedAt == 0 {
		return true
	}
	startedAt, err := x.startOf(ctx, reserved.entry)
	if err == nil && (startedAt == 0 || startedAt == described.StartedAt) {
		return true
	}
	x.handler.logUnconfirmed(x, described, startedAt, err)
	return false
}
