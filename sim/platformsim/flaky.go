package platformsim

import (
	"context"
	"sync"

	"github.com/reelrun/reelrun/platform"
)

// Effect is what a Flaky store does with one call.
type Effect int

// The effects. LoseReply lets the call take effect and hides that it did.
const (
	Pass Effect = iota
	Refuse
	LoseReply
)

// Flaky is a store whose calls fail as a test decides. It is safe for
// concurrent use.
type Flaky struct {
	platform.Store

	mu     sync.Mutex
	decide func(write bool) Effect
	counts map[Effect]int
}

// NewFlaky returns a store that asks decide about each call.
func NewFlaky(store platform.Store, decide func(write bool) Effect) *Flaky {
	return &Flaky{Store: store, decide: decide, counts: map[Effect]int{}}
}

// SetDecide replaces the decision.
func (f *Flaky) SetDecide(decide func(write bool) Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decide = decide
}

// Injected returns the number of calls refused and of replies lost.
func (f *Flaky) Injected() (refused, lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[Refuse], f.counts[LoseReply]
}

func (f *Flaky) effect(write bool) Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	decided := f.decide(write)
	f.counts[decided]++
	return decided
}

// Get implements platform.Store.
func (f *Flaky) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if f.effect(false) != Pass {
		return platform.Object{}, platform.ErrUnavailable
	}
	return f.Store.Get(ctx, kind, name)
}

// List implements platform.Store.
func (f *Flaky) List(ctx context.Context, kind platform.Kind) ([]platform.Object, int64, error) {
	if f.effect(false) != Pass {
		return nil, 0, platform.ErrUnavailable
	}
	return f.Store.List(ctx, kind)
}

// Put implements platform.Store.
func (f *Flaky) Put(ctx context.Context, object platform.Object) (platform.Object, error) {
	switch f.effect(true) {
	case Refuse:
		return platform.Object{}, platform.ErrUnavailable
	case LoseReply:
		_, _ = f.Store.Put(ctx, object)
		return platform.Object{}, platform.ErrUnavailable
	default:
		return f.Store.Put(ctx, object)
	}
}

// Delete implements platform.Store.
func (f *Flaky) Delete(ctx context.Context, kind platform.Kind, name string, version int64) error {
	switch f.effect(true) {
	case Refuse:
		return platform.ErrUnavailable
	case LoseReply:
		_ = f.Store.Delete(ctx, kind, name, version)
		return platform.ErrUnavailable
	default:
		return f.Store.Delete(ctx, kind, name, version)
	}
}

// Watch implements platform.Store.
func (f *Flaky) Watch(ctx context.Context, kind platform.Kind, after int64, handle func(platform.Event)) error {
	if f.effect(false) != Pass {
		return platform.ErrUnavailable
	}
	return f.Store.Watch(ctx, kind, after, handle)
}
