package completion

import (
	"context"
	"io"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

const (
	// progressTimeout bounds the wait for a decode engine while the prefill result
	// is kept.
	progressTimeout = 4 * time.Second
	// stallIntervals is how many token intervals may pass before a stream counts as
	// stalled.
	stallIntervals = 40
	// minStall is the least time after which a stream counts as stalled.
	minStall = 2 * time.Second
	// maxResumes bounds the attempts to resume a broken stream at the same engine.
	maxResumes = 3
	// firstResumeDelay is the pause before the second attempt to resume.
	firstResumeDelay = 50 * time.Millisecond
)

// decode moves the prefill result to a decode engine and relays its tokens. If the
// transfer fails while the result is kept, another decode engine is used.
func (r *run) decode(ctx context.Context, heldGrant *grant, result engine.PrefillResult, source string) error {
	expires := r.service.options.Now().Add(time.Duration(result.HoldMillis) * time.Millisecond)
	failed := ""
	for {
		name, err := r.decodeEngine(ctx, heldGrant, failed)
		if err != nil {
			r.abandon(ctx, heldGrant, "")
			return err
		}
		err = r.decodeAt(ctx, heldGrant, name, source, result.ResultID)
		switch {
		case err == nil:
			r.service.grants.release(heldGrant, r.offset, "")
			return nil
		case errors.Is(err, errTakenOver):
			r.service.grants.forget(heldGrant)
			return err
		}
		r.cancelAt(name)
		started := !errors.Is(err, errNoStream)
		if started || ctx.Err() != nil || !r.service.options.Now().Before(expires) {
			r.abandon(ctx, heldGrant, r.failedEngine(ctx, err, name))
			return err
		}
		r.service.options.Metrics.Add("transfer_retries", 1)
		r.event("transfer-retried", name, "")
		failed = name
	}
}

// errNoStream marks the failure of a transfer: no token was generated.
var errNoStream = errors.New("completion: no stream")

func (r *run) decodeEngine(ctx context.Context, heldGrant *grant, failed string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, progressTimeout)
	defer cancel()
	return r.service.grants.decodeEngine(ctx, heldGrant, failed)
}

// abandon releases a grant and drops its prefill result.
func (r *run) abandon(ctx context.Context, heldGrant *grant, failedEngine string) {
	r.service.grants.release(heldGrant, -1, failedEngine)
	if ctx.Err() == nil && failedEngine == "" {
		r.excluded = append(r.excluded, heldGrant.prefillEngine())
	}
	if ref, err := r.engineOf(heldGrant.prefillEngine()); err == nil {
		r.service.cancels.cancel(heldGrant.prefillEngine(), ref.Engine.Address, r.engineAttempt())
	}
}

func (r *run) cancelAt(name string) {
	if ref, err := r.engineOf(name); err == nil {
		r.service.cancels.cancel(name, ref.Engine.Address, r.engineAttempt())
	}
}

// decodeAt starts a stream at an engine and relays it.
func (r *run) decodeAt(ctx context.Context, heldGrant *grant, name, source, resultID string) error {
	ref, err := r.engineOf(name)
	if err != nil {
		return err
	}
	r.event("decode", name, "")
	watched := newWatchdog(ctx, r.stallTime())
	defer watched.stop()
	stream, err := r.service.options.Engines.Decode(watched.ctx, ref.Engine.Address, engine.DecodeRequest{
		Attempt: r.engineAttempt(), Holder: r.service.holder(), SourceAddress: source, ResultID: resultID,
		Model: r.request.class.Model, MaxTokens: r.request.maxTokens, Offset: r.offset, Priority: r.request.class.Priority,
	})
	if err != nil {
		return errors.CombineErrors(errors.Mark(err, errNoStream), err)
	}
	r.turn.recordPlacement(heldGrant, name)
	r.reportPlacement()
	err = r.relay(ctx, stream, watched)
	if err != nil && r.isStreamFailure(err) {
		return r.resume(ctx, ref.Engine.Address, err)
	}
	return err
}

// isStreamFailure reports whether the stream failed, rather than the caller's
// connection, and no later turn has taken the stream over.
func (r *run) isStreamFailure(err error) bool {
	return !errors.Is(err, errCallerDisconnected) && !errors.Is(err, errTakenOver)
}

func (r *run) stallTime() time.Duration {
	return max(stallIntervals*r.request.class.TokenInterval.Std(), minStall)
}

// relay delivers the tokens of a stream to the caller until it ends.
func (r *run) relay(ctx context.Context, stream *engine.Stream, watched *watchdog) error {
	defer stream.Close()
	release := r.turn.onYield(watched.cancel)
	defer release()
	for {
		token, _, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return r.finish()
		case r.turn.mustYield():
			return errTakenOver
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return err
		}
		// A slow caller delays the stream; this is not a stall of the engine.
		watched.pause()
		if err := r.deliver(token.Offset, token.Text); err != nil {
			return err
		}
		watched.reset()
	}
}

// resume continues reading at the same engine after a broken connection.
func (r *run) resume(ctx context.Context, address string, cause error) error {
	delays := backoff.NewExponentialBackOff(backoff.WithInitialInterval(firstResumeDelay))
	for range maxResumes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.service.options.Metrics.Add("stream_resumes", 1)
		r.event("stream-resumed", "", "")
		err := r.resumeOnce(ctx, address)
		if err == nil || !r.isStreamFailure(err) || isStreamLost(err) {
			return err
		}
		cause = err
		if !pause(ctx, delays.NextBackOff()) {
			return ctx.Err()
		}
	}
	return cause
}

// isStreamLost reports whether the engine has responded that it does not hold the
// stream.
func isStreamLost(err error) bool {
	return api.IsCode(err, api.CodeNotFound) || api.IsCode(err, api.CodeCancelled)
}

func (r *run) resumeOnce(ctx context.Context, address string) error {
	watched := newWatchdog(ctx, r.stallTime())
	defer watched.stop()
	stream, err := r.service.options.Engines.Resume(watched.ctx, address, r.engineAttempt(), r.service.holder(), r.offset)
	if err != nil {
		return err
	}
	return r.relay(ctx, stream, watched)
}

// pause waits for a duration. It reports false if the context ends before.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// watchdog cancels a context if it has not been reset within the limit.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	limit  time.Duration
}

func newWatchdog(parent context.Context, limit time.Duration) *watchdog {
	ctx, cancel := context.WithCancel(parent)
	return &watchdog{ctx: ctx, cancel: cancel, timer: time.AfterFunc(limit, cancel), limit: limit}
}

func (w *watchdog) reset() { w.timer.Reset(w.limit) }
func (w *watchdog) pause() { w.timer.Stop() }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel()
}
