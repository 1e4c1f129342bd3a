package platformsim

import (
	"context"
	"sync"

	"github.com/reelrun/reelrun/objectapi"
)

// Effect is what a FaultyStore does with one call.
type Effect int

// The effects. Reject fails a call without executing it; DropResponse executes a
// write and drops its response, so that the caller gets an error.
const (
	Pass Effect = iota
	Reject
	DropResponse
)

// FaultyStore wraps a store and injects faults that a test chooses for each
// call. It is safe for concurrent use.
type FaultyStore struct {
	objectapi.Store

	mu     sync.Mutex
	decide func(write bool) Effect
	counts map[Effect]int
}

// NewFaultyStore returns a store that calls decide for the effect of each call.
func NewFaultyStore(store objectapi.Store, decide func(write bool) Effect) *FaultyStore {
	return &FaultyStore{Store: store, decide: decide, counts: map[Effect]int{}}
}

// SetFaults replaces the function that chooses the effects.
func (f *FaultyStore) SetFaults(decide func(write bool) Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

// Injected returns the numbers of rejected calls and of dropped responses.
func (f *FaultyStore) Injected() (rejected, dropped int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[Reject], f.counts[DropResponse]
}

func (f *FaultyStore) effect(write bool) Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	decided := f.decide(write)
	f.counts[decided]++
	return decided
}

// Get implements objectapi.Store.
func (f *FaultyStore) Get(ctx context.Context, kind objectapi.Kind, name string) (objectapi.Object, error) {
	if f.effect(false) != Pass {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return f.Store.Get(ctx, kind, name)
}

// List implements objectapi.Store.
func (f *FaultyStore) List(ctx context.Context, kind objectapi.Kind) ([]objectapi.Object, int64, error) {
	if f.effect(false) != Pass {
		return nil, 0, objectapi.ErrUnavailable
	}
	return f.Store.List(ctx, kind)
}

// Put implements objectapi.Store.
func (f *FaultyStore) Put(ctx context.Context, object objectapi.Object) (objectapi.Object, error) {
	switch f.effect(true) {
	case Reject:
		return objectapi.Object{}, objectapi.ErrUnavailable
	case DropResponse:
		_, _ = f.Store.Put(ctx, object)
		return objectapi.Object{}, objectapi.ErrUnavailable
	default:
		return f.Store.Put(ctx, object)
	}
}

// Delete implements objectapi.Store.
func (f *FaultyStore) Delete(ctx context.Context, kind objectapi.Kind, name string, version int64) error {
	switch f.effect(true) {
	case Reject:
		return objectapi.ErrUnavailable
	case DropResponse:
		_ = f.Store.Delete(ctx, kind, name, version)
		return objectapi.ErrUnavailable
	default:
		return f.Store.Delete(ctx, kind, name, version)
	}
}

// Watch implements objectapi.Store.
func (f *FaultyStore) Watch(ctx context.Context, kind objectapi.Kind, after int64, handle func(objectapi.Event)) error {
	if f.effect(false) != Pass {
		return objectapi.ErrUnavailable
	}
	return f.Store.Watch(ctx, kind, after, handle)
}
