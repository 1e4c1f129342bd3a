package peer

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/peer/peerpb"
)

// FailureOf returns the wire form of an error. An untyped error becomes an
// internal error with the given outcome.
func FailureOf(err error, outcome api.Outcome) *peerpb.Failure {
	apiErr := api.AsError(err, outcome)
	return &peerpb.Failure{
		Code:         string(apiErr.Code),
		Outcome:      string(apiErr.Outcome),
		Message:      apiErr.Message,
		Status:       int32(apiErr.Status),
		RetryAfterMs: apiErr.RetryAfter.Milliseconds(),
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
