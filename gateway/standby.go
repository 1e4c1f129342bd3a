package gateway

import (
	"context"
	"maps"
)

// watchRun returns the context of a decode call. If the stream may continue at another engine, one is prepared once the
// engine of the call has been silent for too long.
func (x *exchange) watchRun(ctx context.Context, reserved *reservedEngine, stream *streamRelay) context.Context {
	if !x.route.Resumable || x.runs+1 >= x.route.MaxAttempts {
		return ctx
	}
	limit := x.handler.firstEvents.limit(x.service)
	if reserved.localPrefill {
		limit += prefillLimit(reserved.expectedPrefill)
	}
	call, watch := startFailover(ctx, limit, failoverOptions[preparedRun]{
		prepare: func(ctx context.Context) (*preparedRun, error) { return x.prepareStandby(ctx, reserved, stream) },
		discard: func(unused *preparedRun) { x.discardRun(ctx, unused) },
	})
	reserved.failover = watch
	return call
}

// prepareStandby prepares another engine for the stream of an engine that is silent.
func (x *exchange) prepareStandby(ctx context.Context, silent *reservedEngine, stream *streamRelay) (*preparedRun, error) {
	if !x.mayStartStandby(silent) {
		return nil, errNoAlternative
	}
	if err := x.requireVersionOf(ctx, stream); err != nil {
		return nil, err
	}
	// The log shows the run in progress, unless another one starts.
	target, via, timings := x.target, x.via, x.timings
	defer func() { x.target, x.via, x.timings = target, via, timings }()
	avoid := maps.Clone(stream.avoid)
	avoid[silent.entry.Backend().ID] = true
	prepared, err := x.prepareRun(ctx, stream.profile, avoid)
	if err != nil {
		return nil, err
	}
	prepared.events = stream.events
	return prepared, nil
}

// takeStandby returns the run for which that of a silent engine was ended; nil if there is none, or if the stream has begun since at
// another version.
func (x *exchange) takeStandby(ctx context.Context, silent *reservedEngine, stream *streamRelay) *preparedRun {
	prepared := silent.failover.take()
	if prepared == nil || prepared.events > 0 || stream.events == 0 {
		return prepared
	}
	if err := x.requireVersionOf(ctx, stream); err != nil || !x.version.Allows(prepared.reserved.version) {
		x.discardRun(ctx, prepared)
		return nil
	}
	return prepared
}

// mayStartStandby reports whether the retry budget allows another run beside that of a silent engine.
func (x *exchange) mayStartStandby(silent *reservedEngine) bool {
	after := x.arrivals
	if !silent.responded {
		// The call has not been counted yet.
		after = after.withRun()
	}
	after = after.withPrefill()
	after.prefilled = true
	return x.maySend(after.withRun())
}
