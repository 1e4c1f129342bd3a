package quarantine

import "context"

// Tracker keeps requests that crash back ends away from them, over all nodes. Client implements it.
type Tracker interface {
	// Empty reports that nothing is known of any request.
	Empty() bool
	// Status returns what is known of a request.
	Status(request Fingerprint) Status
	// Crashed notes that a life of a back end ended with a request under way, and returns what is
	// known of the request since.
	Crashed(ctx context.Context, request Fingerprint, backend string) Status
	// Answered notes that a back end has answered a request to its end.
	Answered(request Fingerprint)
}

var _ Tracker = (*Client)(nil)
