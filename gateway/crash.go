package gateway

import (
	"context"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/quarantine"
)

// exitCheckTimeout bounds the check whether the backend of a broken response has terminated. A connection
// to a running backend opens within a few milliseconds; the request may have to wait for the check.
const exitCheckTimeout = 100 * time.Millisecond

// fingerprint identifies the content of the request. It is computed once, and only after a failure or while
// crashes of any request are recorded: 5 KB take 5 microseconds (quarantine.BenchmarkNewFingerprint).
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.content == nil {
		fingerprint := quarantine.NewFingerprint(quarantine.Content{
			Tenant: x.request.Tenant, Method: x.request.Method, Host: x.request.Host, URI: x.request.URI, Body: x.request.Body,
		})
		x.content = &fingerprint
	}
	return *x.content
}

// subject returns what the request may be held responsible by.
func (x *exchange) subject() quarantine.Subject {
	return quarantine.Subject{Content: x.fingerprint(), Parts: x.parts()}
}

// parts returns the shared parts of the request's prompt. They are computed once.
func (x *exchange) parts() []quarantine.Part {
	if x.promptParts == nil && len(x.request.Generation.SharedParts) > 0 {
		x.promptParts = quarantine.NewParts(x.request.Tenant, x.request.Generation.SharedParts)
	}
	return x.promptParts
}

// checkSendable returns an error if the request must not be sent any more: its deadline has passed, or it
// has crashed too many backends. It is called before each send for two reasons: another node may have
// recorded the last crash while the request waited, and the timer of the request's context stops while the
// machine is suspended, so that a backend would be given more time than is left.
func (x *exchange) checkSendable() error {
	if x.left() <= 0 {
		return expired(context.DeadlineExceeded)
	}
	return x.checkQuarantine()
}

// checkQuarantine returns a rejection if the request has crashed too many backends, unless it may run as a trial.
func (x *exchange) checkQuarantine() error {
	tracker := x.handler.options.Quarantine
	if tracker == nil || tracker.Empty() {
		return nil
	}
	status := tracker.Status(x.subject())
	if !status.IsBlocked() || x.isOnTrial(status) {
		return nil
	}
	decision := tracker.BeginTrial(x.incoming.Context(), x.subject())
	if !decision.Granted {
		x.quarantinedBy = status.Record
		return notRun(ReasonQuarantined, min(decision.Wait, status.Quarantined), nil)
	}
	x.trialCrashes = status.Crashes
	x.handler.logTrial(x, status)
	return nil
}

// isOnTrial reports whether the request has been granted a trial, and has not crashed a backend in it.
func (x *exchange) isOnTrial(status quarantine.Status) bool {
	return x.trialCrashes > 0 && status.Crashes <= x.trialCrashes && status.Record == x.fingerprint()
}

// endTrial reports the end of a trial of the request, if there was one.
func (x *exchange) endTrial() {
	if x.trialCrashes > 0 {
		x.handler.options.Quarantine.EndTrial(x.fingerprint(), x.arrivals.any())
	}
}

// reportBreak records that a decode engine broke off the run of the request, or that the run was ended because the engine was
// unresponsive.
func (x *exchange) reportBreak(ctx context.Context, reserved *reservedEngine, unresponsive bool) {
	x.reportBroken(ctx, reserved.entry, brokenRequest{
		age: time.Since(reserved.sent), written: reserved.events > 0, unresponsive: unresponsive,
	})
}

// reportBroken records that a backend broke off the request. A backend that has terminated counts against the
// request; a broken connection does not, nor does the termination of a backend that was leaving. If no crash is attributed to the
// request yet, the check runs in the background: this crash cannot be the one that quarantines the request.
func (x *exchange) reportBroken(ctx context.Context, entry *backend.Entry, broken brokenRequest) {
	if entry.LeavingFor() > 0 {
		return
	}
	broken.brokenAt = time.Now()
	broken.request, broken.service, broken.subject, broken.backend = x.request.ID, x.service, x.subject(), entry.Backend()
	if tracker := x.handler.options.Quarantine; tracker != nil && tracker.Status(broken.subject).Crashes > 0 {
		x.handler.recordBreak(ctx, broken)
		return
	}
	go x.handler.recordBreak(ctx, broken)
}

// brokenRequest is a request that a backend broke off.
type brokenRequest struct {
	request, service string
	subject          quarantine.Subject
	backend          backend.Backend
	// age is the time since the request was sent to the backend.
	age time.Duration
	// brokenAt is when the backend broke it off.
	brokenAt time.Time
	// written is set if the backend had begun to write its response.
	written bool
	// unresponsive is set if this node ended the request because the backend was unresponsive.
	unresponsive bool
}

// recordBreak checks whether the backend has terminated and reports the crash.
func (h *Handler) recordBreak(ctx context.Context, broken brokenRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), exitCheckTimeout)
	defer cancel()
	var quarantineStatus quarantine.Status
	crashed := h.options.Dialect.Ended(ctx, broken.backend)
	if tracker := h.options.Quarantine; crashed && tracker != nil {
		quarantineStatus = tracker.Crashed(ctx, quarantine.Crash{
			Request: broken.subject, Backend: broken.backend.ID, Written: broken.written,
			RanFor: broken.age, Ago: time.Since(broken.brokenAt),
		})
	}
	if broken.unresponsive && !crashed {
		return // The backend has broken nothing off.
	}
	h.logBreak(broken, crashed, quarantineStatus)
}

// recordAnswered records that a backend has answered the request completely. A failure reported by the
// backend itself is no evidence: a backend that fails a share of its requests may not have started this
// one.
func (x *exchange) recordAnswered() {
	tracker := x.handler.options.Quarantine
	if tracker == nil {
		return
	}
	answered := quarantine.Subject{Parts: x.parts()}
	if !tracker.Empty() {
		answered.Content = x.fingerprint()
	}
	tracker.Answered(answered)
}
