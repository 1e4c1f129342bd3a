package completion

import (
	"context"
	"net/http"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/quarantine"
)

// endedTimeout is how long a node looks whether the engine of a failed attempt has ended.
const endedTimeout = 100 * time.Millisecond

// fingerprint names what is asked: the same for each arrival and each attempt.
func (r *run) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(quarantine.Content{
		Tenant: r.exchange.Tenant.Name, Method: http.MethodPost, URI: "completions/" + r.request.class.Model, Body: []byte(r.request.prompt),
	})
}

// keptAway returns the refusal of a request that has crashed too many engines. It is asked before each
// attempt.
func (r *run) keptAway() error {
	known := r.service.options.Quarantine
	if known == nil || known.Empty() {
		return nil
	}
	left := known.Status(r.fingerprint()).Quarantined
	if left == 0 {
		return nil
	}
	r.event("quarantined", "", "")
	cause := api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, r.outcome(), "the request has crashed the engines that ran it")
	return &refusedError{cause: cause.WithRetryAfter(left)}
}

// engineFailed takes note of an engine that failed an attempt which may have run there. One that has
// ended counts against the request; one that could not be reached had ended before. Engines do not say
// which of their lives they are in: the attempt stands for that.
func (r *run) engineFailed(ctx context.Context, name string) {
	known := r.service.options.Quarantine
	ref, err := r.engineOf(name)
	if known == nil || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	if !r.service.options.Engines.Ended(ctx, ref.Engine.Address) {
		return
	}
	r.event("engine-ended", name, r.fingerprint().String())
	known.Crashed(ctx, r.fingerprint(), name+"/"+r.engineAttempt().String())
}

// answered takes note of an answer that is whole.
func (r *run) answered() {
	if known := r.service.options.Quarantine; known != nil && !known.Empty() {
		known.Answered(r.fingerprint())
	}
}
