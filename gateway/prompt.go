package gateway

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
)

// keptPromptLimit is how old a prompt that was read may be for another engine to fetch it. Engines keep one
// for half a second, and fetching it has to begin in that time.
const keptPromptLimit = 300 * time.Millisecond

// readPrompt is a prompt that an engine has read and keeps for a short time.
type readPrompt struct {
	result PrefillResult
	source *backend.Entry
	readAt time.Time
	// offered is set once it has been kept for another engine.
	offered bool
}

// promptFor returns the prompt for a run at a reserved engine: one that is kept, or one that is read now. It
// is nil where the engine of the run reads it itself.
func (x *exchange) promptFor(ctx context.Context, taken *reservedEngine) (*readPrompt, error) {
	if kept := x.takeKeptPrompt(ctx); kept != nil {
		taken.readsItself = false
		taken.promptRead(kept.source.Backend().ID)
		return kept, nil
	}
	if taken.readsItself {
		return nil, nil
	}
	result, source, err := x.prefill(ctx, taken)
	if isReason(err, ReasonPrefillFailed) {
		return nil, x.readAtRun(taken, err)
	}
	if err != nil {
		return nil, err
	}
	return &readPrompt{result: *result, source: source, readAt: time.Now()}, nil
}

// readAtRun has the engine of the run read the prompt, which others have rejected or failed to read: it has
// memory for the request, and reads more slowly, but now. Each prompt that was rejected is an arrival: if the
// budget were not asked here, runs after rejected prompts would exceed it by one each.
func (x *exchange) readAtRun(taken *reservedEngine, failed error) error {
	if refused := x.runRefusal(failed); refused != nil {
		return refused
	}
	taken.readsItself = true
	x.handler.logRetry(x, failed)
	return nil
}

// keepPrompt keeps a prompt that no engine has fetched for the next one, if there is time for that, and frees
// it otherwise. An engine that rejects the run takes up nothing; with the prompt read once more elsewhere, the
// next start would be two repeats in place of one. It is offered to two engines at most, because one may
// have rejected the run for the prompt that it could not fetch.
func (x *exchange) keepPrompt(ctx context.Context, prompt *readPrompt, cause wasteCause) {
	if prompt == nil {
		return
	}
	if prompt.offered || time.Since(prompt.readAt) > keptPromptLimit {
		x.discard(ctx, prompt, cause)
		return
	}
	prompt.offered = true
	x.kept = prompt
}

// takeKeptPrompt returns the prompt that is kept, if it can still be fetched.
func (x *exchange) takeKeptPrompt(ctx context.Context) *readPrompt {
	kept := x.kept
	x.kept = nil
	if kept != nil && time.Since(kept.readAt) > keptPromptLimit {
		x.discard(ctx, kept, wasteDecodeRefused)
		return nil
	}
	return kept
}

// freeKeptPrompt frees the prompt that is kept, if there is one.
func (x *exchange) freeKeptPrompt(ctx context.Context) {
	if kept := x.kept; kept != nil {
		x.kept = nil
		x.discard(ctx, kept, wasteDecodeRefused)
	}
}

// discard frees a prompt that was read and is not used.
func (x *exchange) discard(ctx context.Context, prompt *readPrompt, cause wasteCause) {
	if prompt == nil {
		return
	}
	x.handler.logWasted(x, prompt.source.Backend().ID, cause)
	x.giveUp(ctx, prompt.source, "discard_errors", func(ctx context.Context) error {
		return x.handler.options.Dialect.Discard(ctx, prompt.source.Backend(), prompt.result)
	})
}
