package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/streamorigin"
)

// Sources of an origin that is not from a record.
const (
	// sourceResponse means that the stream began within the response of the request.
	sourceResponse = "response"
	// sourceSingleVersion means that the service has had a single version.
	sourceSingleVersion = "single version"
)

// errNoRecord means that no node has a record of the stream, and nothing else tells where it began.
var errNoRecord = errors.New("gateway: no record of the stream")

// errServiceNotTarget means that a stream began at a service that its route no longer has.
var errServiceNotTarget = errors.New("gateway: the stream began at a service that is no target of its route")

// resumeAtOrigin constrains a request that resumes a stream to the service and the software version at which the stream
// began, or rejects it: what two versions write does not fit together, and no backend checks it.
func (x *exchange) resumeAtOrigin(ctx context.Context) error {
	streams := x.handler.options.Streams
	if streams == nil || x.route.Kind != routing.KindStream || !x.request.Generation.resumesStream() {
		return nil
	}
	origin, source, err := x.findOrigin(ctx)
	if err != nil {
		return notRun(ReasonStreamOriginUnknown, noBackendRetryAfter, err)
	}
	version, err := x.knownVersionOf(ctx, origin)
	if err != nil {
		return notRun(ReasonStreamOriginUnknown, noBackendRetryAfter, err)
	}
	x.origin, x.originSource = origin, source
	x.service = origin.Service
	x.version = backend.RequireVersion(version)
	x.handler.options.Metrics.Add("streams_resumed", 1)
	return nil
}

// findOrigin returns where the stream that the request resumes began, and the source of this knowledge: a record of a
// node, or that the service has had a single version.
func (x *exchange) findOrigin(ctx context.Context) (origin streamorigin.Origin, source string, err error) {
	if x.request.Generation.Resumes != "" {
		origin, source, found := x.handler.options.Streams.Find(ctx, x.streamKey())
		if found && !x.route.HasTarget(origin.Service) {
			return streamorigin.Origin{}, "", errServiceNotTarget
		}
		if found {
			return origin, source, nil
		}
	}
	versions := x.handler.options.SoftwareVersions
	if versions == nil || len(x.route.Targets) != 1 {
		return streamorigin.Origin{}, "", errNoRecord
	}
	version, err := versions.Single(ctx, x.service)
	if err != nil {
		return streamorigin.Origin{}, "", err
	}
	return streamorigin.Origin{Service: x.service, Version: version}, sourceSingleVersion, nil
}

// beginAtPublished has a new stream that may be resumed begin at the only published version of its service while backends of others
// have appeared, unless none of that version is ready.
func (x *exchange) beginAtPublished() {
	versions := x.handler.options.SoftwareVersions
	if versions == nil || !x.route.Resumable || x.request.Generation.resumesStream() {
		return
	}
	published, isOnly := versions.OnlyPublished(x.service)
	if !isOnly || !x.handler.options.Backends.HasOtherVersion(x.service, published) {
		return
	}
	required := backend.RequireVersion(published)
	if x.handler.options.Backends.HasReady(x.service, backend.RoleDecode, required) {
		x.version = required
	}
}

// beginningAttempt identifies the attempt that brought the first event of the request's stream; empty if unknown.
func (x *exchange) beginningAttempt() string {
	if x.request.Generation.resumesStream() {
		return x.request.Generation.Resumes
	}
	return x.request.ID
}

// streamKey returns the key of the request's stream.
func (x *exchange) streamKey() streamorigin.Key {
	return streamorigin.NewKey(x.request.Tenant, x.beginningAttempt())
}

// beginStream records where the stream of the request began, before its first event is passed on. For a resumed stream,
// it renews the record.
func (x *exchange) beginStream(reserved *reservedEngine) {
	if x.originSource == "" {
		engine := reserved.entry.Backend()
		x.origin = streamorigin.Origin{
			Service: x.service, Version: reserved.version, Backend: engine.RegisteredAs, StartedAt: engine.StartedAt,
		}
		x.originSource = sourceResponse
		x.version = backend.RequireVersion(reserved.version)
	}
	if streams := x.handler.options.Streams; streams == nil || !x.route.Resumable || x.beginningAttempt() == "" {
		return
	}
	if x.originSource == sourceResponse && x.origin.StartedAt != 0 {
		x.handler.options.Streams.Keep(x.streamKey(), x.origin)
		go x.confirmOrigin(x.streamKey(), x.origin, reserved.entry)
		return
	}
	x.handler.options.Streams.Record(x.streamKey(), x.origin)
}

// versionRejection returns the rejection of a request that can run at one software version only if no engine has it.
func (x *exchange) versionRejection() error {
	if _, required := x.version.Version(); !required {
		return nil
	}
	if x.handler.options.Backends.HasReady(x.service, backend.RoleDecode, x.version) {
		return nil
	}
	return notRun(ReasonVersionUnavailable, noBackendRetryAfter, nil)
}
