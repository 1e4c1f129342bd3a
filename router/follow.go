package router

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/replica"
)

// follower feeds the copy of one kind from the store.
type follower struct {
	kind    objectapi.Kind
	copy    *replica.Replica
	contact *contact
	// listed is called after a whole list; it may be nil.
	listed func()
}

// Replace implements objectapi.Follower.
func (f *follower) Replace(objects []objectapi.Object, revision int64) {
	f.copy.Replace(f.kind, objects, revision)
	if f.listed != nil {
		f.listed()
	}
}

// Apply implements objectapi.Follower.
func (f *follower) Apply(event objectapi.Event) {
	f.copy.Apply(replica.SourceStore, replica.Record{Object: event.Object, Deleted: event.Deleted})
}

// Contact implements objectapi.Follower.
func (f *follower) Contact(err error) { f.contact.observe(f.kind, err) }

// follow keeps the copies of the given kinds up to date until the context ends.
func (r *Router) follow(ctx context.Context, kinds ...objectapi.Kind) {
	var following sync.WaitGroup
	for _, kind := range kinds {
		following.Go(func() {
			fed := &follower{kind: kind, copy: r.copy, contact: r.contact}
			if kind == r.options.Backplane.BackendKind {
				fed.listed = r.backends.SetSynced
			}
			objectapi.Follow(ctx, r.options.Backplane.Store, kind, fed)
		})
	}
	following.Wait()
}

// contact knows whether the store answers, and logs when it is lost and when it
// is back.
type contact struct {
	logger *slog.Logger

	mu   sync.Mutex
	lost map[objectapi.Kind]bool
	// disturbedAt is when a call last failed.
	disturbedAt time.Time
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

func newContact(logger *slog.Logger) *contact {
	return &contact{logger: logger, lost: map[objectapi.Kind]bool{}}
}

func (c *contact) observe(kind objectapi.Kind, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && !c.lost[kind]:
		c.logger.Warn("store lost", "kind", string(kind), "error", err.Error())
	case err == nil && c.lost[kind]:
		c.logger.Info("store back", "kind", string(kind))
	}
	c.lost[kind] = err != nil
	if err == nil {
		c.answeredAt = time.Now()
	}
	if err != nil {
		c.disturbedAt = time.Now()
	}
}

// disturbed reports whether the store has failed in the time that has just passed.
func (c *contact) disturbed(lately time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.disturbedAt.IsZero() && time.Since(c.disturbedAt) < lately
}

// age returns how long ago the store answered; zero if it never has.
func (c *contact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.IsZero() {
		return 0
	}
	return time.Since(c.answeredAt)
}
