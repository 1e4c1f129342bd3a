package objectapi

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors with a definite meaning: the call did not take effect. Any other error
// of a writing call leaves its effect unknown.
var (
	ErrNotFound  = errors.New("objectapi: object not found")
	ErrConflict  = errors.New("objectapi: version conflict")
	ErrThrottled = errors.New("objectapi: too many calls")
	ErrTooOld    = errors.New("objectapi: watch revision too old")
	ErrTooLarge  = errors.New("objectapi: value too large")
)

// ErrUnavailable means that the platform did not answer. The effect of a
// writing call is unknown.
var ErrUnavailable = errors.New("objectapi: unavailable")

// MaxValueBytes is the largest value the platform holds.
const MaxValueBytes = 1 << 20

// Kind is a resource type of the object API, in plural form.
type Kind string

// The kinds that reelrun keeps or reads.
const (
	KindConfiguration Kind = "configurations"
	KindClaim         Kind = "claims"
	KindLease         Kind = "leases"
	KindMachine       Kind = "machines"
	KindStatus        Kind = "statuses"
)

// Object is one stored value with its version.
type Object struct {
	Kind Kind
	Name string
	// Version changes with each write. Zero means that the object must not exist.
	Version int64
	// Spec is the JSON value.
	Spec json.RawMessage
}

// Event is one change that a watch reports.
type Event struct {
	Object  Object
	Deleted bool
}

// Store is the object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the revision from which to watch.
	List(ctx context.Context, kind Kind) ([]Object, int64, error)
	// Put writes the object if its stored version equals object.Version, and
	// returns it with its new version; otherwise ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its stored version equals version.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Watch calls handle for each change after the revision until the context
	// ends or the connection does. It returns ErrTooOld if changes were missed.
	Watch(ctx context.Context, kind Kind, after int64, handle func(Event)) error
}
