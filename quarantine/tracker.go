package quarantine

import "context"

// Tracker tracks the requests that crash backends, over all nodes. Client implements it.
type Tracker interface {
	// Empty reports that there is no record of any request.
	Empty() bool
	// Status returns the quarantine status of a request.
	Status(request Fingerprint) Status
	// Crashed records that a backend incarnation ended with a request in flight, and returns the request's
	// status.
	Crashed(ctx context.Context, request Fingerprint, backend string) Status
	// Answered records that a backend has answered a request to its end.
	Answered(request Fingerprint)
}

var _ Tracker = (*Client)(nil)
