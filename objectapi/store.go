package objectapi

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Errors after which the call certainly had no effect. After any other error of a
// write, its effect is unknown.
var (
	ErrNotFound  = errors.New("objectapi: object not found")
	ErrConflict  = errors.New("objectapi: version conflict")
	ErrThrottled = errors.New("objectapi: too many calls")
	ErrTooOld    = errors.New("objectapi: watch revision too old")
	ErrTooLarge  = errors.New("objectapi: value too large")
)

// ErrUnavailable means that the platform did not respond, or not as expected. The
// effect of a write is unknown.
var ErrUnavailable = errors.New("objectapi: unavailable")

// MaxValueBytes is the size limit of a value at the platform.
const MaxValueBytes = 1 << 20

// Kind is a resource type of the object API, in plural form.
type Kind string

// The kinds that reelrun writes or reads.
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
	// Version rises with each write, across restores of the store from a copy too (see NewVersion). Zero means that
	// the object must not exist.
	Version int64
	// Spec is the JSON value.
	Spec json.RawMessage
}

// Event is a change reported by a watch.
type Event struct {
	Object  Object
	Deleted bool
}

// Store is the object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind and the version to watch from.
	List(ctx context.Context, kind Kind) ([]Object, int64, error)
	// Put writes the object if its stored version equals object.Version, and
	// returns it with its new version; otherwise ErrConflict.
	Put(ctx context.Context, object Object) (Object, error)
	// Delete removes the object if its stored version equals version.
	Delete(ctx context.Context, kind Kind, name string, version int64) error
	// Watch calls handle for each change after the version until the context or
	// the connection ends. It returns ErrTooOld if the store no longer has all
	// changes since the version, or has been restored from a copy since.
	Watch(ctx context.Context, kind Kind, after int64, handle func(Event)) error
}
