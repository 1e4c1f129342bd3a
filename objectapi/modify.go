package objectapi

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"
)

// Change is a conditional update of an object.
type Change struct {
	Kind Kind
	Name string
	// Mutate receives the current value (nil if the object does not exist) and
	// returns the new one. A nil result without an error means that the object
	// already has the desired value, either from the start or because an earlier
	// attempt took effect although its response was lost; nothing is written then.
	// Mutate runs again after a conflict and after a call whose effect is unknown.
	Mutate func(current json.RawMessage) (json.RawMessage, error)
}

// Retry intervals of Modify.
const (
	modifyFirstInterval = 20 * time.Millisecond
	modifyMaxInterval   = 500 * time.Millisecond
)

// Modify reads, changes and conditionally writes an object until the change has
// been made, Mutate fails, the value is too large, or the context ends. It
// returns the object that contains the change. Since the object is read again
// after a lost response, Mutate must recognize its own change.
func Modify(ctx context.Context, store Store, change Change) (Object, error) {
	var result Object
	attempt := func() error {
		object, err := tryModify(ctx, store, change)
		if err != nil {
			return classify(err)
		}
		result = object
		return nil
	}
	policy := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(modifyFirstInterval),
		backoff.WithMaxInterval(modifyMaxInterval),
		backoff.WithMaxElapsedTime(0),
	)
	err := backoff.Retry(attempt, backoff.WithContext(policy, ctx))
	return result, err
}

// mutateError wraps an error of Mutate, which ends the retries.
type mutateError struct{ error }

func (e mutateError) Unwrap() error { return e.error }

func classify(err error) error {
	var final mutateError
	if errors.As(err, &final) {
		return backoff.Permanent(final.error)
	}
	if errors.Is(err, ErrTooLarge) {
		return backoff.Permanent(err)
	}
	return err
}

func tryModify(ctx context.Context, store Store, change Change) (Object, error) {
	current, err := store.Get(ctx, change.Kind, change.Name)
	if errors.Is(err, ErrNotFound) {
		current = Object{Kind: change.Kind, Name: change.Name}
	} else if err != nil {
		return Object{}, err
	}
	spec, err := change.Mutate(current.Spec)
	if err != nil {
		return Object{}, mutateError{err}
	}
	if spec == nil {
		return current, nil
	}
	current.Spec = spec
	return store.Put(ctx, current)
}
