package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/streamorigin"
)

const (
	// startTimeout bounds the question to a backend when it started. Backends answer it at once, also at capacity.
	startTimeout = 100 * time.Millisecond
	// startTolerance is by how much the clocks of nodes and backends may differ.
	startTolerance = 2 * time.Second
)

// errOutdatedEntry means that a stream may have begun at a later start of its backend than the one that discovery
// described, which may have another version of the software.
var errOutdatedEntry = errors.New("gateway: the backend has restarted about when the stream began")

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
	if entry == nil {
		return x.versionWithoutEntry(origin)
	}
	described := entry.Backend()
	if described.StartedAt == 0 || origin.StartedAt == 0 {
		if described.SoftwareVersion != origin.Version {
			return "", errOutdatedEntry
		}
		return origin.Version, nil
	}
	if described.StartedAt <= origin.StartedAt {
		return origin.Version, x.checkUnknownStart(ctx, entry, origin)
	}
	if described.SoftwareVersion == origin.Version {
		return origin.Version, nil
	}
	switch startedBefore := time.Duration(origin.BeganAt-described.StartedAt) * time.Millisecond; {
	case startedBefore > startTolerance:
		return described.SoftwareVersion, nil
	case startedBefore < -startTolerance:
		return origin.Version, nil
	default:
		return "", errOutdatedEntry
	}
}

// versionWithoutEntry returns the version of a stream whose backend is gone, and has not confirmed its incarnation.
func (*exchange) versionWithoutEntry(origin streamorigin.Origin) (string, error) {
	if origin.StartedAt != 0 {
		return "", errUnconfirmed
	}
	return origin.Version, nil
}

// confirmOrigin asks the engine of a stream that has begun whether the described incarnation is the running one, and then
// sends the origin to other nodes. Later the engine may be gone, and its entry no longer be the one of then.
func (x *exchange) confirmOrigin(key streamorigin.Key, origin streamorigin.Origin, entry *backend.Entry) {
	if _, limited := entry.RequestLimit(); !limited {
		// The question would use up a small limit.
		startedAt, err := x.startOf(context.Background(), entry)
		origin.IsConfirmed = err == nil && startedAt == origin.StartedAt
	}
	x.isOriginConfirmed.Store(origin.IsConfirmed)
	x.handler.options.Streams.Record(key, origin)
}

// checkUnknownStart returns an error if the backend has started later than discovery describes, and possibly before the
// stream began. The version of that start is not known.
func (x *exchange) checkUnknownStart(ctx context.Context, entry *backend.Entry, origin streamorigin.Origin) error {
	startedAt, err := x.startOf(ctx, entry)
	if err != nil {
		return errors.CombineErrors(errUnconfirmed, err)
	}
	if startedAt <= origin.StartedAt {
		return nil
	}
	if time.Duration(origin.BeganAt-startedAt)*time.Millisecond < -startTolerance {
		return nil
	}
	return errOutdatedEntry
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
