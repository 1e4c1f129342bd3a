package gateway

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
)

// promptLife is how long a prompt that was read is taken to be kept for its request. Engines keep it
// for some seconds; one that is asked for too late is refused, and read once more then.
const promptLife = time.Second

// readPrompt is a prompt that an engine has read and that no decode engine has taken yet.
type readPrompt struct {
	result PrefillResult
	source *backend.Entry
	at     time.Time
}

// ensurePrompt has the prompt read for a decode engine, unless one read before can still be had: its
// decode engine was gone before it could be asked. Reading it once more costs an engine hundreds of
// output tokens.
func (x *exchange) ensurePrompt(ctx context.Context, taken *reservedEngine) error {
	if x.prompt != nil && time.Since(x.prompt.at) < promptLife {
		taken.readsItself = false
		taken.promptRead(x.prompt.source.Backend().ID)
		return nil
	}
	x.dropPrompt(ctx, wasteNotTaken)
	if taken.readsItself {
		return nil
	}
	result, source, err := x.prefill(ctx, taken)
	if err == nil {
		x.prompt = &readPrompt{result: *result, source: source, at: time.Now()}
		return nil
	}
	if !isReason(err, ReasonPrefillFailed) {
		return err
	}
	// The decode engine has memory for the request, and reads more slowly, but now.
	taken.readsItself = true
	x.handler.logRetry(x, err)
	return nil
}

// dropPrompt frees a prompt that was read and is not used, if there is one.
func (x *exchange) dropPrompt(ctx context.Context, cause wasteCause) {
	if x.prompt == nil {
		return
	}
	x.discard(ctx, x.prompt.source, x.prompt.result, cause)
	x.prompt = nil
}
