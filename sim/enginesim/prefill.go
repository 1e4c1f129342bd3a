package enginesim

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/sim/answer"
)

// Prefill queues and computes a prompt. It returns when the result is held, the
// attempt is cancelled, or the caller's context ends; in the last case the
// engine goes on.
func (e *Engine) Prefill(ctx context.Context, request engine.PrefillRequest) (engine.PrefillResult, error) {
	added := &stream{
		attempt: request.Attempt, holder: request.Holder, role: api.RolePrefill,
		prompt: request.Prompt, priority: request.Priority, max: request.MaxTokens,
		generated: engine.CountTokens(request.Generated),
	}
	if request.Model != e.options.Model {
		return engine.PrefillResult{}, refuse(http.StatusNotFound, api.CodeUnknownModel, "engine does not hold the model")
	}
	e.mu.Lock()
	if err := e.admit(added); err != nil {
		e.record(added, EntryRefused, 0)
		e.mu.Unlock()
		return engine.PrefillResult{}, err
	}
	e.record(added, EntryPrefillStart, 0)
	e.queue = append(e.queue, added)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return b.priority - a.priority })
	hashes := engine.BlockHashes(request.Salt, request.Model, request.Prompt)
	e.startNext()
	e.mu.Unlock()
	return e.awaitPrefill(ctx, added, hashes)
}

// startNext begins the next queued prefill if none runs. The caller holds the lock.
func (e *Engine) startNext() {
	for !e.busy && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		if next.phase != phaseQueued {
			continue
		}
		e.busy = true
		next.phase = phasePrefilling
		next.notify()
	}
}

func (e *Engine) awaitPrefill(ctx context.Context, added *stream, hashes []uint64) (engine.PrefillResult, error) {
	type outcome struct {
		result engine.PrefillResult
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := e.runPrefill(added, hashes)
		done <- outcome{result, err}
	}()
	select {
	case ended := <-done:
		return ended.result, ended.err
	case <-ctx.Done():
		return engine.PrefillResult{}, ctx.Err()
	}
}

func (e *Engine) runPrefill(added *stream, hashes []uint64) (engine.PrefillResult, error) {
	if !e.waitTurn(added) {
		return engine.PrefillResult{}, refuse(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	e.mu.Lock()
	tokens := engine.CountTokens(added.prompt) + added.generated
	cached := e.cache.match(hashes) * engine.BlockTokens
	e.mu.Unlock()
	computed := tokens - cached
	sleep(added.ctx, time.Duration(float64(computed)/e.options.PrefillTokensPerSecond*float64(time.Second)))
	return e.endPrefill(added, hashes, tokens, cached)
}

// waitTurn returns false if the attempt was cancelled while it waited.
func (e *Engine) waitTurn(added *stream) bool {
	for {
		e.mu.Lock()
		current, changed := added.phase, added.changed
		e.mu.Unlock()
		switch current {
		case phasePrefilling:
			return true
		case phaseCancelled:
			return false
		}
		<-changed
	}
}

func (e *Engine) endPrefill(added *stream, hashes []uint64, tokens, cached int) (engine.PrefillResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	defer e.startNext()
	added.computed = tokens - cached
	e.record(added, EntryPrefillDone, added.computed)
	if added.phase == phaseCancelled {
		e.record(added, EntryPrefillCancelled, added.computed)
		return engine.PrefillResult{}, api.NewError(http.StatusConflict, api.CodeCancelled, api.OutcomeRan, "attempt was cancelled")
	}
	e.cache.store(hashes, time.Now())
	result := engine.PrefillResult{
		ResultID: added.attempt.String(), PromptTokens: tokens, CachedTokens: cached,
		HoldMillis: e.options.Hold.Milliseconds(),
	}
	if added.max == 1 {
		result.Text = answer.Token(e.options.Model, added.prompt, 0)
		e.record(added, EntryPrefillUsed, added.computed)
		e.finished++
		e.remove(added, phaseEnded)
		return result, nil
	}
	added.phase = phaseHeld
	added.kvTokens = tokens
	time.AfterFunc(e.options.Hold, func() { e.lapse(added) })
	return result, nil
}

// lapse drops a result whose time is over.
func (e *Engine) lapse(held *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held.phase != phaseHeld {
		return
	}
	if !held.used {
		e.record(held, EntryPrefillExpired, held.computed)
	}
	e.remove(held, phaseEnded)
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
