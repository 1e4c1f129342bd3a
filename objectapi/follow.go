package objectapi

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"
)

// Handler receives the objects of one kind.
type Handler interface {
	// Replace takes over a whole list as of a revision.
	Replace(objects []Object, revision int64)
	// Apply takes over one change.
	Apply(event Event)
	// StoreAnswered is told of each answer of the store, with its error if it failed.
	StoreAnswered(err error)
	// PageListed is called after each page of a list but the last. It may block until the context ends: what
	// the rest holds may become known otherwise.
	PageListed(ctx context.Context, page []Object)
	// BeforeWatch is called once a list has been taken over, before the first watch since. It may
	// block until the context ends: the list is enough for the time being.
	BeforeWatch(ctx context.Context)
}

// Retry intervals of Follow.
const (
	followFirstInterval = 100 * time.Millisecond
	followMaxInterval   = time.Second
)

// ListAndWatch keeps a follower up to date with all objects of a kind until the
// context ends. It lists once, then watches; it lists again only where the store
// no longer has the changes since.
func ListAndWatch(ctx context.Context, store Store, kind Kind, follower Handler) {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(followFirstInterval),
		backoff.WithMaxInterval(followMaxInterval),
		backoff.WithMaxElapsedTime(0),
	)
	current := &position{}
	for ctx.Err() == nil {
		err := current.advance(ctx, store, kind, follower, retry.Reset)
		if ctx.Err() != nil {
			return
		}
		follower.StoreAnswered(err)
		if errors.Is(err, ErrTooOld) {
			current.listed = false
		}
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// position is how far a follower has come.
type position struct {
	listed   bool
	revision int64
}

// advance lists, if it must, and watches until the store fails.
func (p *position) advance(ctx context.Context, store Store, kind Kind, follower Handler, succeeded func()) error {
	if !p.listed {
		objects, revision, err := list(ctx, store, kind, follower)
		if err != nil {
			return err
		}
		follower.Replace(objects, revision)
		follower.StoreAnswered(nil)
		p.listed, p.revision = true, revision
		succeeded()
		follower.BeforeWatch(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return store.Watch(ctx, kind, p.revision, func(event Event) {
		follower.Apply(event)
		follower.StoreAnswered(nil)
		p.revision = max(p.revision, event.Object.Version)
		succeeded()
	})
}

// list lists a kind, page by page where the store has pages.
func list(ctx context.Context, store Store, kind Kind, follower Handler) (objects []Object, revision int64, err error) {
	pager, hasPages := store.(Pager)
	if !hasPages {
		return store.List(ctx, kind)
	}
	return ListPages(ctx, pager, kind, func(page []Object) error {
		follower.PageListed(ctx, page)
		return ctx.Err()
	})
}
