package quarantine

import (
	"context"
	"time"
)

// Tracker tracks the requests that crash backends, over all nodes. Client implements it.
type Tracker interface {
	// Empty reports that there is no record of any request.
	Empty() bool
	// Status returns the quarantine status of a request.
	Status(request Subject) Status
	// Crashed records that a backend ended with a request in flight, and returns the request's status.
	Crashed(ctx context.Context, crash Crash) Status
	// Answered records that a backend has answered a request to its end.
	Answered(request Subject)
	// BeginTrial asks whether a blocked request may run as a trial. EndTrial must follow a granted one.
	BeginTrial(ctx context.Context, request Subject) TrialDecision
	// EndTrial records that a trial is over, and whether a backend may have received the request.
	EndTrial(request Fingerprint, reached bool)
}

// Subject is what a request may be held responsible by.
type Subject struct {
	// Content identifies the whole request; zero if that has not been computed because there is no record of any request.
	Content Fingerprint
	// Parts are the parts of its prompt that other requests may have too; none for requests without a prompt.
	Parts []Part
}

// Crash is the end of a backend with a request in flight.
type Crash struct {
	Request Subject
	// Backend is the incarnation of the backend.
	Backend string
	// Written is set if the backend had begun to write its response to the request.
	Written bool
	// RanFor is how long the request was at the backend, and Ago how long ago the backend broke it off.
	RanFor, Ago time.Duration
}

var _ Tracker = (*Client)(nil)
