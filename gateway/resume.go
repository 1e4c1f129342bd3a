package gateway

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/streamorigin"
)

// sourceResponse is the source of the origin of a stream that began within the response of the request.
const sourceResponse = "response"

// errNoAttemptNamed means that a caller resumes a stream without naming the attempt that began it.
var errNoAttemptNamed = errors.New("gateway: the request does not name the attempt that began its stream")

// errServiceNotTarget means that a stream began at a service that its route no longer has.
var errServiceNotTarget = errors.New("gateway: the stream began at a service that is no target of its route")

// resumeAtOrigin constrains a request that resumes a stream to the service and the software version at which the stream
// began, or rejects it: what two versions write does not fit together, and no backend checks it.
func (x *exchange) resumeAtOrigin(ctx context.Context) error {
	streams := x.handler.options.Streams
	if streams == nil || x.route.Kind != routing.KindStream || !x.request.Generation.resumesStream() {
		return nil
	}
	if x.request.Generation.Resumes == "" {
		return x.originUnknown(errNoAttemptNamed)
	}
	origin, source, found := streams.Find(ctx, x.streamKey())
	if !found {
		return x.originUnknown(nil)
	}
	if !x.route.HasTarget(origin.Service) {
		return x.originUnknown(errServiceNotTarget)
	}
	x.origin, x.originSource = origin, source
	x.service = origin.Service
	x.version = backend.RequireVersion(origin.Version)
	x.handler.options.Metrics.Add("streams_resumed", 1)
	return nil
}

// originUnknown is the rejection of a request that resumes a stream of which this node cannot know where it began.
func (x *exchange) originUnknown(cause error) error {
	return notRun(ReasonStreamOriginUnknown, noBackendRetryAfter, cause)
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
			BeganAt: reserved.sent.UnixMilli(),
		}
		x.originSource = sourceResponse
		x.version = backend.RequireVersion(reserved.version)
	}
	if streams := x.handler.options.Streams; streams != nil && x.route.Resumable && x.beginningAttempt() != "" {
		streams.Record(x.streamKey(), x.origin)
	}
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
