package load

import (
	"time"

	"github.com/reelrun/reelrun/api"
)

// Ending is how a request ended for its caller.
type Ending string

// The endings of a request.
const (
	// EndingAnswered means that the complete, correct response arrived.
	EndingAnswered Ending = "answered"
	// EndingRejected means that a typed error arrived, with its outcome.
	EndingRejected Ending = "refused"
	// EndingLost means that no final response arrived.
	EndingLost Ending = "lost"
	// EndingAltered means that a wrong response arrived.
	EndingAltered Ending = "altered"
)

// Result is what one caller observed.
type Result struct {
	Kind *Kind
	// Key is the Idempotency-Key.
	Key string
	// RequestIDs are the identifiers that the nodes assigned to the attempts.
	RequestIDs []string
	Ending     Ending
	// Failure is the typed error of a rejection.
	Failure *api.Error
	// DuplicateTokens is the number of tokens that arrived more than once.
	DuplicateTokens int
	// Attempts is the number of attempts, each with its own connection.
	Attempts int
	// FirstToken is the time from the start of the request to its first token; without
	// a stream, to the complete response.
	FirstToken time.Duration
	// Interval is the mean time between tokens.
	Interval time.Duration
	// Detail is the error of the last attempt that failed.
	Detail string
}

// meetsTargets reports whether the request met both targets.
func (r *Result) meetsTargets() bool {
	if r.Ending != EndingAnswered || r.FirstToken > r.Kind.FirstToken.Std() {
		return false
	}
	return r.Kind.TokenInterval == 0 || r.Interval <= r.Kind.TokenInterval.Std()
}
