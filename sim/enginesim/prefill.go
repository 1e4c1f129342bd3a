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
// attempt is cancelled, or the caller's context ends. In the last case the prefill
// continues.
func (e *Engine) Prefill(ctx context.Context, request engine.PrefillRequest) (engine.PrefillResult, error) {
	s := &stream{
		attempt: request.Attempt, holder: request.Holder, role: api.RolePrefill,
		prompt: request.Prompt, priority: request.Priority, maxTokens: request.MaxTokens,
		generated: engine.CountTokens(request.Generated),
	}
	if request.Model != e.options.Model {
		return engine.PrefillResult{}, notRunError(http.StatusNotFound, api.CodeUnknownModel, "engine does not hold the model")
	}
	e.mu.Lock()
	if err := e.admit(s); err != nil {
		e.record(s, EntryRejected, 0)
		e.mu.Unlock()
		return engine.PrefillResult{}, err
	}
	e.record(s, EntryPrefillStart, 0)
	e.queue = append(e.queue, s)
	slices.SortStableFunc(e.queue, func(a, b *stream) int { return b.priority - a.priority })
	hashes := engine.BlockHashes(request.Salt, request.Model, request.Prompt)
	e.startNextPrefill()
	e.mu.Unlock()
	return e.awaitPrefill(ctx, s, hashes)
}

// startNextPrefill starts the next queued prefill if none is running. The caller holds
// e.mu.
func (e *Engine) startNextPrefill() {
	for !e.prefilling && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		if next.phase != phaseQueued {
			continue
		}
		e.prefilling = true
		next.phase = phasePrefilling
		next.notify()
	}
}

func (e *Engine) awaitPrefill(ctx context.Context, s *stream, hashes []uint64) (engine.PrefillResult, error) {
	type outcome struct {
		result engine.PrefillResult
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := e.runPrefill(s, hashes)
		done <- outcome{result, err}
	}()
	select {
	case ended := <-done:
		return ended.result, ended.err
	case <-ctx.Done():
		return engine.PrefillResult{}, ctx.Err()
	}
}

func (e *Engine) runPrefill(s *stream, hashes []uint64) (engine.PrefillResult, error) {
	if !e.waitForStart(s) {
		return engine.PrefillResult{}, notRunError(http.StatusConflict, api.CodeCancelled, "attempt was cancelled")
	}
	e.mu.Lock()
	tokens := engine.CountTokens(s.prompt) + s.generated
	cached := e.cache.match(hashes) * engine.BlockTokens
	e.mu.Unlock()
	computed := tokens - cached
	sleep(s.ctx, time.Duration(float64(computed)/e.options.PrefillTokensPerSecond*float64(time.Second)))
	return e.finishPrefill(s, hashes, tokens, cached)
}

// waitForStart waits until the prefill starts. It returns false if the attempt is
// cancelled first.
func (e *Engine) waitForStart(s *stream) bool {
	for {
		e.mu.Lock()
		current, changed := s.phase, s.changed
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

func (e *Engine) finishPrefill(s *stream, hashes []uint64, tokens, cached int) (engine.PrefillResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefilling = false
	defer e.startNextPrefill()
	s.computed = tokens - cached
	e.record(s, EntryPrefillDone, s.computed)
	if s.phase == phaseCancelled {
		e.record(s, EntryPrefillCancelled, s.computed)
		return engine.PrefillResult{}, api.NewError(http.StatusConflict, api.CodeCancelled, api.OutcomeRan, "attempt was cancelled")
	}
	e.cache.store(hashes, time.Now())
	result := engine.PrefillResult{
		ResultID: s.attempt.String(), PromptTokens: tokens, CachedTokens: cached,
		HoldMillis: e.options.Hold.Milliseconds(),
	}
	if s.maxTokens == 1 {
		result.Text = answer.Token(e.options.Model, s.prompt, 0)
		e.record(s, EntryPrefillUsed, s.computed)
		e.finished++
		e.remove(s, phaseEnded)
		return result, nil
	}
	s.phase = phaseHeld
	s.kvTokens = tokens
	time.AfterFunc(e.options.Hold, func() { e.expire(s) })
	return result, nil
}

// expire discards a prefill result at the end of Hold, and records it as expired if it
// was never used.
func (e *Engine) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.phase != phaseHeld {
		return
	}
	if !s.used {
		e.record(s, EntryPrefillExpired, s.computed)
	}
	e.remove(s, phaseEnded)
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
