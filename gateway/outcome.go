package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Reason is why the gateway answered a request itself.
type Reason string

// The reasons.
const (
	ReasonNotReady  Reason = "not_ready"
	ReasonMalformed Reason = "malformed"
	ReasonNoRoute   Reason = "no_route"
	// ReasonQuota means that the request exceeds the quota of its tenant.
	ReasonQuota Reason = "quota"
	// ReasonUnknownKey means that the caller presented no key of the active configuration.
	ReasonUnknownKey   Reason = "unknown_key"
	ReasonBodyTooLarge Reason = "body_too_large"
	// ReasonReadLate means that the time of the request was over before the request could be read.
	ReasonReadLate Reason = "read_late"
	// ReasonBodyIncomplete means that the body had not arrived when the time of the request was over.
	ReasonBodyIncomplete Reason = "body_incomplete"
	ReasonNoBackend      Reason = "no_backend"
	// ReasonBackoff means that all backends for the request have requested backoff from this node.
	ReasonBackoff Reason = "backoff"
	// ReasonBackendLimit means that the chosen backend accepts no more requests now, by the limit that it has named.
	ReasonBackendLimit Reason = "backend_limit"
	// ReasonQuarantined means that the request has crashed the backends that ran it.
	ReasonQuarantined Reason = "quarantined"
	// ReasonOverloaded means that the request exceeds the capacity of the backends of its service.
	ReasonOverloaded Reason = "overloaded"
	// ReasonRetryBudget means that the retry budget of the service allows no further upstream retry.
	ReasonRetryBudget     Reason = "retry_budget"
	ReasonNoCapacity      Reason = "no_room"
	ReasonPrefillFailed   Reason = "prefill_failed"
	ReasonBackendRejected Reason = "backend_refused"
	// ReasonStreamOriginUnknown means that no node knows at which software version the resumed stream began.
	ReasonStreamOriginUnknown Reason = "stream_origin_unknown"
	// ReasonVersionUnavailable means that no engine has the software version at which the stream began.
	ReasonVersionUnavailable Reason = "version_unavailable"
	// ReasonBackendLeft means that the engine was leaving while the prompt was being prefilled.
	ReasonBackendLeft        Reason = "backend_left"
	ReasonBackendFailed      Reason = "backend_failed"
	ReasonDeadline           Reason = "deadline"
	ReasonCallerDisconnected Reason = "caller_left"
	ReasonStreamBroken       Reason = "stream_broken"
	// ReasonPanic means that the handling of the request panicked.
	ReasonPanic Reason = "panic"
)

// failure is a final response that the gateway generates itself. It implements error, so that each step can
// return it.
type failure struct {
	status int
	reason Reason
	// retryAfter is above zero only if the request has certainly not run.
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

// notRun is the response to a request that has certainly not run.
func notRun(reason Reason, retryAfter time.Duration, cause error) *failure {
	return &failure{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, cause: cause}
}

// beyondQuota is the response to a request beyond the quota of its tenant, which has certainly not run.
func beyondQuota(retryAfter time.Duration) *failure {
	return &failure{status: http.StatusTooManyRequests, reason: ReasonQuota, retryAfter: retryAfter}
}

// unknown is the response to a request that may have run.
func unknown(reason Reason, cause error) *failure {
	return &failure{status: http.StatusBadGateway, reason: reason, cause: cause}
}

// expired is the response to a request whose deadline has passed.
func expired(cause error) *failure {
	return &failure{status: http.StatusGatewayTimeout, reason: ReasonDeadline, cause: cause}
}

// rejected is the response to a request that is itself invalid.
func rejected(status int, reason Reason, cause error) *failure {
	return &failure{status: status, reason: reason, cause: cause}
}

// isReason reports whether an error is a failure with the given reason.
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
	_, _ = w.Write([]byte(f.reason + "\n")) // The caller may have disconnected.
}
