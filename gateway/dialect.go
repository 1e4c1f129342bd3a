package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
)

// ErrNotSent means that no byte of a request has left this node for the back end.
var ErrNotSent = errors.New("gateway: not sent")

// ErrAnswerMismatch means that a back end answered another request than the one it
// was sent.
var ErrAnswerMismatch = errors.New("gateway: answer to another request")

// Answer is what a back end answers. The body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set where the back end states that the request has not run and
	// never will.
	NotRun bool
	// Misdirected is set where the back end is not the one that was meant, or not in
	// the role for the request.
	Misdirected bool
	// Replaced is set where another incarnation answered: the expected one is gone.
	Replaced bool
}

// Reservation is memory and a slot set aside at a decode engine.
type Reservation struct {
	ID string
}

// PrefillResult is a prompt that an engine has read and keeps for a short time.
type PrefillResult struct {
	// Address is that of the engine that keeps it.
	Address string
	Handle  string
}

// DecodeOptions say how a decode engine is to begin an answer.
type DecodeOptions struct {
	// Prefill is the prompt read elsewhere; nil lets the engine read it itself.
	Prefill *PrefillResult
	// Reservation is memory set aside there; nil for none.
	Reservation *Reservation
	// LastEventID is the last event that the caller has; empty for none.
	LastEventID string
}

// Dialect is how callers and back ends are spoken to. Errors of its calls are
// marked by ErrNotSent where nothing was sent; any other error leaves open
// whether the request ran. It is safe for concurrent use.
type Dialect interface {
	// Parse reads the head of a caller's request. The body is read later. With an
	// error, the request is what could be read, for the log.
	Parse(request *http.Request) (*Request, error)
	// Measure reads what of a request's sizes stands in its body. It is called once the
	// body is read, for requests to engines.
	Measure(request *Request) error
	// Send sends a request to a back end of a plain service. The time left is
	// passed on.
	Send(ctx context.Context, target backend.Backend, request *Request, left time.Duration) (*Answer, error)
	// Ended reports whether the process of a back end is known to have ended: nothing listens at
	// its address any more. It is false where that cannot be found out in time.
	Ended(ctx context.Context, target backend.Backend) bool
	// Reserve sets memory aside at a decode engine. The result is nil if the
	// engine has no capacity.
	Reserve(ctx context.Context, target backend.Backend, tokens int, lasting time.Duration) (*Reservation, error)
	// Release gives a reservation back.
	Release(ctx context.Context, target backend.Backend, reservation Reservation) error
	// Prefill has a prompt read. Without a result, the answer says why.
	Prefill(ctx context.Context, target backend.Backend, request *Request, left time.Duration) (*PrefillResult, *Answer, error)
	// Discard frees a prefill result.
	Discard(ctx context.Context, target backend.Backend, result PrefillResult) error
	// Decode starts an answer, a stream of events.
	Decode(ctx context.Context, target backend.Backend, request *Request, left time.Duration, options DecodeOptions) (*Answer, error)
}
