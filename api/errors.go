package api

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcome states what is known about whether a failed or rejected request has run.
type Outcome string

// The outcomes. OutcomeNotRun guarantees that no backend has run the request.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// Code is the stable, machine-readable name of an error.
type Code string

// The codes that a caller, an operator or a peer can receive.
const (
	CodeInvalidRequest   Code = "invalid-request"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not-found"
	CodeUnknownModel     Code = "unknown-model"
	CodeTooLarge         Code = "too-large"
	CodeKeyConflict      Code = "key-conflict"
	CodeKeyRequired      Code = "key-required"
	CodeKeyExpired       Code = "key-expired"
	CodeAlreadyClaimed   Code = "already-claimed"
	CodeTakenOver        Code = "taken-over"
	CodeTooMany          Code = "too-many-requests"
	CodeNoCapacity       Code = "no-capacity"
	CodeDeadline         Code = "deadline-unreachable"
	CodeNotReady         Code = "not-ready"
	CodeClaimUnavailable Code = "claim-unavailable"
	CodeBackendFailed    Code = "backend-failed"
	CodeCancelled        Code = "cancelled"
	CodeConflict         Code = "conflict"
	CodeUnavailable      Code = "unavailable"
	CodeInternal         Code = "internal"
)

// Error is the only error type that crosses an interface of the system. It is
// sent to callers as JSON.
type Error struct {
	Code Code
	// Outcome states whether the request ran.
	Outcome Outcome
	// Message explains the error without naming another tenant.
	Message string
	// Status is the HTTP status.
	Status int
	// RetryAfter is the delay before a retry; zero means that a retry does not help.
	RetryAfter time.Duration
}

// NewError returns an Error whose message is formatted as by fmt.Sprintf.
func NewError(status int, code Code, outcome Outcome, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// WithRetryAfter returns a copy of e that advises the caller to retry after the
// given time.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	changed := *e
	changed.RetryAfter = after
	return &changed
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	changed := *e
	changed.Outcome = outcome
	return &changed
}

// errorBody is the JSON form of an Error.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Code              Code    `json:"code"`
	Outcome           Outcome `json:"outcome"`
	Message           string  `json:"message"`
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(errorBody{Error: errorFields{e.Code, e.Outcome, e.Message, e.RetryAfter.Seconds()}})
}

// UnmarshalJSON implements json.Unmarshaler. The status is not part of the body.
func (e *Error) UnmarshalJSON(data []byte) error {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(err, "decode error body")
	}
	e.Code = body.Error.Code
	e.Outcome = body.Error.Outcome
	e.Message = body.Error.Message
	// Rounded, because most fractions of a second have no exact binary form.
	const millisecondsPerSecond = 1000
	e.RetryAfter = time.Duration(math.Round(body.Error.RetryAfterSeconds*millisecondsPerSecond)) * time.Millisecond
	return nil
}

// WriteHTTP writes e as the response. It must be called before any other byte
// of the response is written.
func (e *Error) WriteHTTP(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := int(math.Ceil(e.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status)
	body, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.Write(body) // If the caller has disconnected, nothing is left to do.
}

// AsError returns err as an *Error. An error of another type becomes an
// internal error with the given outcome; its text is left out of the message
// because it may contain addresses or names of other tenants.
func AsError(err error, outcome Outcome) *Error {
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return apiErr
	}
	return NewError(http.StatusInternalServerError, CodeInternal, outcome, "internal error")
}

// IsCode reports whether err is an Error with the given code.
func IsCode(err error, code Code) bool {
	var apiErr *Error
	return errors.As(err, &apiErr) && apiErr.Code == code
}
