package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is why a request got no answer of a back end.
type Reason string

// The reasons.
const (
	ReasonNotReady  Reason = "not_ready"
	ReasonMalformed Reason = "malformed"
	ReasonNoRoute   Reason = "no_route"
	// ReasonQuota is that of a request beyond the limit of its tenant.
	ReasonQuota Reason = "quota"
	// ReasonUnknownKey is that of a caller without a key of the configuration in force.
	ReasonUnknownKey   Reason = "unknown_key"
	ReasonBodyTooLarge Reason = "body_too_large"
	ReasonNoBackend    Reason = "no_backend"
	// ReasonBackoff is that of a request all of whose back ends have asked this node for backoff.
	ReasonBackoff Reason = "backoff"
	// ReasonQuarantined is that of a request that has crashed the back ends which ran it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonOverloaded is that of a request beyond what the back ends of its service can do.
	ReasonOverloaded Reason = "overloaded"
	// ReasonRetryBudget is that of a request that would have to be sent once more than its service's retry
	// budget allows.
	ReasonRetryBudget    Reason = "retry_budget"
	ReasonNoCapacity     Reason = "no_room"
	ReasonPrefillFailed  Reason = "prefill_failed"
	ReasonBackendRefused Reason = "backend_refused"
	// ReasonBackendLeft is that of an engine that left while the prompt was being read.
	ReasonBackendLeft   Reason = "backend_left"
	ReasonBackendFailed Reason = "backend_failed"
	ReasonDeadline      Reason = "deadline"
	ReasonCallerLeft    Reason = "caller_left"
	ReasonStreamBroken  Reason = "stream_broken"
)

// failure is the gateway's own final answer. It is an error, so that each step
// can return it.
type failure struct {
	status int
	reason Reason
	// retryAfter is set where the request has certainly not run.
	retryAfter time.Duration
	cause      error
}

// Error implements error.
func (f *failure) Error() string {
	text := string(f.reason) + " (" + strconv.Itoa(f.status) + ")"
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// notRun is the answer to a request that has certainly not run.
func notRun(reason Reason, retryAfter time.Duration, cause error) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, cause: cause}
}

// beyondQuota is the answer to a request beyond the limit of its tenant, which has certainly not
// run.
func beyondQuota(retryAfter time.Duration) *failure {
	return &failure{status: http.StatusTooManyRequests, reason: ReasonQuota, retryAfter: retryAfter}
}

// unknown is the answer to a request that may have run.
func unknown(reason Reason, cause error) *failure {
	return &failure{status: http.StatusBadGateway, reason: reason, cause: cause}
}

// expired is the answer to a request whose time is over.
func expired(cause error) *failure {
	return &failure{status: http.StatusGatewayTimeout, reason: ReasonDeadline, cause: cause}
}

// rejected is the answer to a request that is at fault itself.
func rejected(status int, reason Reason, cause error) *failure {
	return &failure{status: status, reason: reason, cause: cause}
}

// isReason reports whether an error is a failure for a reason.
func isReason(err error, reason Reason) bool {
	var failed *failure
	return errors.As(err, &failed) && failed.reason == reason
}

// write sends the failure to the caller.
func (f *failure) write(w http.ResponseWriter) {
	header := w.Header()
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.reason + "\n")) // The caller may have left.
}
