package gateway

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
)

// maxKeptPromptAge is the age up to which another engine may still fetch a prefilled prompt. Engines keep a
// prompt for half a second, and the fetch has to start in that time.
const maxKeptPromptAge = 300 * time.Millisecond

// prefilledPrompt is a prefilled prompt, which its engine keeps for a short time.
type prefilledPrompt struct {
	result      PrefillResult
	source      *backend.Entry
	prefilledAt time.Time
	// offered is set once the prompt has been kept for another engine.
	offered bool
}

// promptFor returns the prompt for a run at a reserved engine: one that is kept, or one that is prefilled
// now. It is nil for a local prefill.
func (x *exchange) promptFor(ctx context.Context, reserved *reservedEngine) (*prefilledPrompt, error) {
	if keptPrompt := x.takeKeptPrompt(ctx, reserved.version); keptPrompt != nil {
		reserved.localPrefill = false
		reserved.reportPrefilled(keptPrompt.source.Backend().ID)
		return keptPrompt, nil
	}
	if reserved.localPrefill {
		return nil, nil
	}
	result, source, err := x.prefill(ctx, reserved)
	if isReason(err, ReasonPrefillFailed) {
		return nil, x.prefillLocally(reserved, err)
	}
	if err != nil {
		return nil, err
	}
	return &prefilledPrompt{result: *result, source: source, prefilledAt: time.Now()}, nil
}

// prefillLocally has the decode engine prefill the prompt, which other engines have rejected or failed to
// prefill: the decode engine has memory for the request and prefills more slowly, but at once. Each
// rejected prefill counts as an arrival: if the retry budget were not checked here, each run after a rejected
// prefill would exceed it by one.
func (x *exchange) prefillLocally(reserved *reservedEngine, cause error) error {
	if rejection := x.runRejection(cause); rejection != nil {
		return rejection
	}
	reserved.localPrefill = true
	x.handler.logRetry(x, cause)
	return nil
}

// keepPrompt keeps a prompt that no engine has fetched, so that the next engine can fetch it. It frees the
// prompt if there is too little time left for that. A rejected run has not used the prompt; if the prompt were
// prefilled again elsewhere, the next start would count as two retries instead of one. The prompt is offered
// to two engines at most, because an engine may have rejected the run for being unable to fetch the prompt.
func (x *exchange) keepPrompt(ctx context.Context, prompt *prefilledPrompt, cause wasteCause) {
	if prompt == nil {
		return
	}
	if prompt.offered || time.Since(prompt.prefilledAt) > maxKeptPromptAge {
		x.discard(ctx, prompt, cause)
		return
	}
	prompt.offered = true
	x.keptPrompt = prompt
}

// takeKeptPrompt returns the kept prompt, if it can still be fetched and was prefilled by the given software version.
func (x *exchange) takeKeptPrompt(ctx context.Context, version string) *prefilledPrompt {
	keptPrompt := x.keptPrompt
	x.keptPrompt = nil
	if keptPrompt == nil {
		return nil
	}
	if time.Since(keptPrompt.prefilledAt) > maxKeptPromptAge || keptPrompt.source.Backend().SoftwareVersion != version {
		x.discard(ctx, keptPrompt, wasteDecodeRejected)
		return nil
	}
	return keptPrompt
}

// freeKeptPrompt frees the kept prompt, if there is one.
func (x *exchange) freeKeptPrompt(ctx context.Context) {
	if keptPrompt := x.keptPrompt; keptPrompt != nil {
		x.keptPrompt = nil
		x.discard(ctx, keptPrompt, wasteDecodeRejected)
	}
}

// discard frees a prefilled prompt that is not used.
func (x *exchange) discard(ctx context.Context, prompt *prefilledPrompt, cause wasteCause) {
	if prompt == nil {
		return
	}
	x.handler.logWasted(x, prompt.source.Backend().ID, cause)
	x.freeLater(ctx, prompt.source, "discard_errors", func(ctx context.Context) error {
		return x.handler.options.Dialect.Discard(ctx, prompt.source.Backend(), prompt.result)
	})
}
