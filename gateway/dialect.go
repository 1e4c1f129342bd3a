package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
)

// ErrNotSent means that no byte of a request has left this node for the backend.
var ErrNotSent = errors.New("gateway: not sent")

// ErrLimited means that nothing was sent because the backend accepts no more requests now, by the limit that it has
// named. The registry of backends knows when it does again.
var ErrLimited = errors.New("gateway: beyond the limit of the backend")

// ErrResponseMismatch means that the response of a backend belongs to another request.
var ErrResponseMismatch = errors.New("gateway: response to another request")

// Response is what a backend returns. The body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// NotRun is set if the backend states that the request has not run and never will.
	NotRun bool
	// Misdirected is set if the response comes from another backend than the intended one, or from one
	// whose role does not fit the request.
	Misdirected bool
	// Replaced is set if the response comes from another incarnation: the expected one has terminated.
	Replaced bool
	// Via is the address of the node through which the response came; empty for a direct connection.
	Via string
}

// Reservation is memory and a slot reserved at a decode engine.
type Reservation struct {
	ID string
}

// PrefillResult is a prefilled prompt, which its engine keeps for a short time.
type PrefillResult struct {
	// Address is the address of the engine that keeps it.
	Address string
	Handle  string
	// Via is the address of the node through which the prompt was sent; empty for a direct connection.
	Via string
}

// DecodeOptions configure a decode call.
type DecodeOptions struct {
	// Prefill is the prompt prefilled at another engine; nil for local prefill.
	Prefill *PrefillResult
	// Reservation is memory reserved at the engine; nil for none.
	Reservation *Reservation
	// LastEventID is the last event that the caller has received; empty for none.
	LastEventID string
}

// Dialect is the protocol spoken with callers and backends. Errors of its calls are marked by ErrNotSent or ErrLimited
// if nothing was sent; any other error leaves open whether the request ran. It is safe for concurrent use.
type Dialect interface {
	// Parse reads the head of a caller's request. The body is read later. On an error, it returns what
	// could be parsed of the request, for the log.
	Parse(request *http.Request) (*Request, error)
	// Measure determines the sizes of a request that are stated in its body. It is called after the body is
	// read, for requests to engines.
	Measure(request *Request) error
	// Send sends a request to a backend of a plain service, with the time left until the deadline.
	Send(ctx context.Context, target backend.Backend, request *Request, left time.Duration) (*Response, error)
	// Ended reports whether the process of a backend is known to have terminated: nothing listens at its
	// address any more. It is false if that cannot be determined in time.
	Ended(ctx context.Context, target backend.Backend) bool
	// StartedAt asks a backend when its process started, in Unix milliseconds; zero if the backend does not state it.
	StartedAt(ctx context.Context, target backend.Backend) (int64, error)
	// Reserve reserves memory at a decode engine for the lifetime. The result is nil if the engine has no
	// capacity.
	Reserve(ctx context.Context, target backend.Backend, tokens int, lifetime time.Duration) (*Reservation, error)
	// Release cancels a reservation.
	Release(ctx context.Context, target backend.Backend, reservation Reservation) error
	// Prefill has an engine prefill a prompt. Without a result, the response says why.
	Prefill(ctx context.Context, target backend.Backend, request *Request, left time.Duration) (*PrefillResult, *Response, error)
	// Discard frees a prefill result.
	Discard(ctx context.Context, target backend.Backend, result PrefillResult) error
	// Decode starts the decode stage. The body of the response is a stream of events.
	Decode(ctx context.Context, target backend.Backend, request *Request, left time.Duration, options DecodeOptions) (*Response, error)
}
