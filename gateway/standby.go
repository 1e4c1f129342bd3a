package gateway

import (
	"context"
	"maps"
	"time"
)

// watchRun returns the context of a decode call. If the stream may continue at another engine, one is prepared once the
// engine of the call has been unresponsive for too long.
func (x *exchange) watchRun(ctx context.Context, reserved *reservedEngine, stream *streamRelay) context.Context {
	if !x.route.Resumable || x.runs+1 >= x.route.MaxAttempts {
		return ctx
	}
	call, watch := startFailover(ctx, x.firstEventLimit(reserved), failoverOptions[preparedRun]{
		panicked: x.panicked,
		prepare:  func(ctx context.Context) (*preparedRun, error) { return x.prepareStandby(ctx, reserved, stream) },
		discard: func(unused *preparedRun) {
			x.discardRun(ctx, unused)
			x.returnRetries(x.arrivalsWith(reserved))
		},
	})
	reserved.failover = watch
	return call
}

// firstEventLimit returns how long an engine may be unresponsive before its first event until another one is prepared.
func (x *exchange) firstEventLimit(reserved *reservedEngine) time.Duration {
	limit := x.handler.firstEvents.limit(x.service)
	if reserved.localPrefill {
		limit += prefillLimit(reserved.expectedPrefill)
	}
	return limit
}

// prepareStandby prepares another engine for the stream of an engine that is unresponsive.
func (x *exchange) prepareStandby(ctx context.Context, unresponsive *reservedEngine, stream *streamRelay) (*preparedRun, error) {
	// The log shows the run in progress, unless another one starts.
	target, via, timings := x.target, x.via, x.timings
	defer func() { x.target, x.via, x.timings = target, via, timings }()
	counted := x.arrivals.runs
	x.arrivals = x.arrivalsWith(unresponsive)
	defer func() { x.arrivals.runs = counted }()
	prepared, err := x.prepareOther(ctx, unresponsive, stream)
	if err != nil {
		x.returnRetries(x.arrivals)
		return nil, err
	}
	if !x.maySendNow(x.arrivals.withRun()) || !x.mayReplaceStandby(prepared) {
		x.discardRun(ctx, prepared)
		x.returnRetries(x.arrivals)
		return nil, errNoAlternative
	}
	return prepared, nil
}

// arrivalsWith returns the calls of the request with that to an engine whose response has not begun: it is counted once it has.
func (x *exchange) arrivalsWith(unresponsive *reservedEngine) arrivals {
	if unresponsive.responded {
		return x.arrivals
	}
	return x.arrivals.withRun()
}

// prepareOther prepares a run at another engine than the unresponsive one, with the retry budget for it. Each prompt that is
// prefilled in vain counts as an attempt, so that an engine which pauses often does not have the prompt prefilled each time.
func (x *exchange) prepareOther(ctx context.Context, unresponsive *reservedEngine, stream *streamRelay) (*preparedRun, error) {
	if x.arrivals.prefills >= x.route.MaxAttempts || !x.mayStartRun() {
		return nil, errNoAlternative
	}
	if err := x.requireVersionOf(ctx, stream); err != nil {
		return nil, err
	}
	avoid := maps.Clone(stream.avoid)
	avoid[unresponsive.entry.Backend().ID] = true
	prepared, err := x.prepareRun(ctx, stream.profile, avoid)
	if err != nil {
		return nil, err
	}
	prepared.events = stream.events
	return prepared, nil
}

// mayReplaceStandby reports whether the retry budget allows another run after that of a standby: the standby may reject its run,
// when that of the unresponsive engine has been ended already.
func (x *exchange) mayReplaceStandby(prepared *preparedRun) bool {
	after := x.arrivals.withRun()
	if prepared.prompt == nil {
		// A prompt that is prefilled can be fetched by another engine.
		after = after.withPrefill()
		after.prefilled = true
	}
	return x.maySend(after.withRun())
}

// takeStandby returns the run for which that of an unresponsive engine was ended; nil if there is none, or if the stream has begun
// since at another version.
func (x *exchange) takeStandby(ctx context.Context, unresponsive *reservedEngine, stream *streamRelay) *preparedRun {
	prepared := unresponsive.failover.take()
	if prepared == nil || prepared.events > 0 || stream.events == 0 {
		return prepared
	}
	if err := x.requireVersionOf(ctx, stream); err != nil || !x.version.Allows(prepared.reserved.version) {
		x.discardRun(ctx, prepared)
		return nil
	}
	return prepared
}
