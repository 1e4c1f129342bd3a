package peer

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// FailureOf returns the wire form of an error. An untyped error becomes an
// internal error with the given outcome.
func FailureOf(err error, outcome api.Outcome) *peerpb.Failure {
	typed := api.AsError(err, outcome)
	return &peerpb.Failure{
		Code:         string(typed.Code),
		Outcome:      string(typed.Outcome),
		Message:      typed.Message,
		Status:       int32(typed.Status),
		RetryAfterMs: typed.RetryAfter.Milliseconds(),
	}
}

// errorOf converts the wire form of an error.
func errorOf(failure *peerpb.Failure) *api.Error {
	return &api.Error{
		Code:       api.Code(failure.GetCode()),
		Outcome:    api.Outcome(failure.GetOutcome()),
		Message:    failure.GetMessage(),
		Status:     int(failure.GetStatus()),
		RetryAfter: time.Duration(failure.GetRetryAfterMs()) * time.Millisecond,
	}
}
