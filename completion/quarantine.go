package completion

import (
	"context"
	"net/http"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/quarantine"
)

// exitCheckTimeout bounds the check whether the engine of a failed attempt has
// terminated.
const exitCheckTimeout = 100 * time.Millisecond

// fingerprint identifies the content of the request: it is the same for all
// arrivals and attempts.
func (r *run) fingerprint() quarantine.Fingerprint {
	return quarantine.NewFingerprint(quarantine.Content{
		Tenant: r.exchange.Tenant.Name, Method: http.MethodPost, URI: "completions/" + r.request.class.Model, Body: []byte(r.request.prompt),
	})
}

// subject returns what the request may be held responsible by. Its prompt is not divided into parts.
func (r *run) subject() quarantine.Subject { return quarantine.Subject{Content: r.fingerprint()} }

// checkQuarantine returns the rejection of a request that has crashed too many
// engines, unless it may run as a trial. It is called before each attempt.
func (r *run) checkQuarantine(ctx context.Context) error {
	tracker := r.service.options.Quarantine
	if tracker == nil || tracker.Empty() {
		return nil
	}
	status := tracker.Status(r.subject())
	if !status.IsBlocked() || r.trialCrashes > 0 && status.Crashes <= r.trialCrashes {
		return nil
	}
	decision := tracker.BeginTrial(ctx, r.subject())
	if decision.Granted {
		r.trialCrashes = status.Crashes
		r.event("trial", "", r.fingerprint().String())
		return nil
	}
	r.event("quarantined", "", "")
	cause := api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, r.outcome(), "the request has crashed the engines that ran it")
	return &rejectedError{cause: cause.WithRetryAfter(min(decision.Wait, status.Quarantined))}
}

// endTrial reports the end of a trial of the request, if there was one.
func (r *run) endTrial() {
	if r.trialCrashes > 0 {
		r.service.options.Quarantine.EndTrial(r.fingerprint(), r.dispatched)
	}
}

// recordEngineFailure records that an engine failed an attempt which may have run
// there. An engine that has terminated counts against the request; an engine that
// could not be reached had terminated before the attempt and does not count.
// Engines do not report their incarnation, so the attempt is used in its place.
func (r *run) recordEngineFailure(ctx context.Context, name string) {
	tracker := r.service.options.Quarantine
	ref, err := r.engineOf(name)
	if tracker == nil || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exitCheckTimeout)
	defer cancel()
	if !r.service.options.Engines.Ended(ctx, ref.Engine.Address) {
		return
	}
	r.event("engine-ended", name, r.fingerprint().String())
	tracker.Crashed(ctx, quarantine.Crash{Request: r.subject(), Backend: name + "/" + r.engineAttempt().String()})
}

// recordAnswered records that the request has been answered completely.
func (r *run) recordAnswered() {
	if tracker := r.service.options.Quarantine; tracker != nil && !tracker.Empty() {
		tracker.Answered(r.subject())
	}
}
