package router

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
)

// follower feeds the copy of one kind from the store.
type follower struct {
	kind    objectapi.Kind
	copy    *replica.Replica
	contact *contact
	// listed is called after a whole list; it may be nil.
	listed func()
	// longList is called after each page but the last, once the pages have brought longFrom objects; it may be
	// nil.
	longList func(ctx context.Context)
	longFrom int
	// paged is how many objects the pages of the present list have brought.
	paged int
	// beforeWatch is called before the first watch; it may block until the context ends.
	beforeWatch func(ctx context.Context)
}

// Replace implements objectapi.Follower.
func (f *follower) Replace(objects []objectapi.Object, revision int64) {
	f.paged = 0
	for _, object := range objects {
		f.copy.Apply(replica.SourceStore, replica.Record{Object: object})
	}
	f.whenLapsed(func() { f.copy.Replace(f.kind, objects, revision) })
	if f.listed != nil {
		f.listed()
	}
}

// Apply implements objectapi.Follower.
func (f *follower) Apply(event objectapi.Event) {
	record := replica.Record{Object: event.Object, Deleted: event.Deleted}
	if !event.Deleted {
		f.copy.Apply(replica.SourceStore, record)
		return
	}
	f.whenLapsed(func() { f.copy.Apply(replica.SourceStore, record) })
}

const (
	// lapseWindow is how long after a failure of the store an entry that is gone
	// may only have lapsed, because its back end could not renew it.
	lapseWindow = 4 * time.Second
	// lapseGrace is how long such an entry is still kept. Those of live back ends are
	// back in the store about two seconds after it.
	lapseGrace = 1800 * time.Millisecond
)

// whenLapsed takes a deletion over, at once or, where the entry may only have
// lapsed, a little later: what has been written again by then is newer and stays.
func (f *follower) whenLapsed(takeOver func()) {
	if f.contact.disturbed(lapseWindow) {
		time.AfterFunc(lapseGrace, takeOver)
		return
	}
	takeOver()
}

// MorePages implements objectapi.Follower. What a page holds is used before the whole list is in.
func (f *follower) MorePages(ctx context.Context, page []objectapi.Object) {
	for _, object := range page {
		f.copy.Apply(replica.SourceStore, replica.Record{Object: object})
	}
	f.paged += len(page)
	if f.paged >= f.longFrom && f.longList != nil {
		f.longList(ctx)
	}
}

// longNodeList is how many nodes a node reads when it starts before it leaves the rest to others: where a
// thousand nodes start together and each lists all, the answers are a quarter of a gigabyte. Lists of back ends
// are left to others after their first page.
const longNodeList = 150

// Contact implements objectapi.Follower.
func (f *follower) Contact(err error) { f.contact.observe(f.kind, err) }

// firstWatchDelay is how long after it has listed the others a node first watches the store. By then it knows
// them, and most nodes leave the watches to a few: where all lose power at once, each that
// watches at once costs three calls for nothing. What changes meanwhile comes with the watch or
// from other nodes, well within the time that a configuration has.
const firstWatchDelay = 1200 * time.Millisecond

// BeforeWatch implements objectapi.Follower.
func (f *follower) BeforeWatch(ctx context.Context) { f.beforeWatch(ctx) }

// awaitFirstWatch waits until this node knows whether it follows the store.
func (r *Router) awaitFirstWatch(ctx context.Context) {
	r.nodesKnown.await(ctx, r.nodesKnownBy())
	_ = periodic.Pause(ctx, time.Until(r.started.Add(r.joinTime()+firstWatchDelay))) // Follow looks at the context.
}

// watcherInterval is how often a node looks whether it is to follow the store.
const watcherInterval = 500 * time.Millisecond

// copyPatience is how long a node that does not follow the store waits until other nodes have brought it
// all back ends, before it lists them itself. A neighbour has them within a second or two, or within some
// more where all nodes have lost power.
const copyPatience = 6 * time.Second

// followsStore reports whether this node is to follow the store: it is chosen to, or hears nothing of those that are.
func (r *Router) followsStore() bool { return r.isChosenToFollow() || r.isStale() }

// isChosenToFollow reports whether this node is to follow the store whatever it hears: it does not know the others
// yet, it is a watcher, or no other node has brought it a whole copy in time.
func (r *Router) isChosenToFollow() bool {
	knowsNodes := r.nodesKnown.isSet() || !time.Now().Before(r.nodesKnownBy())
	return !knowsNodes || r.isWatcher() || !r.backends.Synced() && time.Since(r.started) > r.joinTime()+copyPatience
}

// follow keeps the copies of the given kinds up to date until the context ends,
// from the store while this node follows it, and from other nodes otherwise.
func (r *Router) follow(ctx context.Context, kinds ...objectapi.Kind) {
	ticker := time.NewTicker(watcherInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		watching, stop := context.WithCancel(ctx)
		r.following.Store(true)
		allKinds := r.followsAllKinds()
		var following sync.WaitGroup
		for _, kind := range kinds {
			if allKinds || kind == r.options.Environment.ConfigurationKind {
				following.Go(func() { r.followKind(watching, kind) })
			}
		}
		r.waitFor(ctx, ticker, func() bool { return !r.followsStore() || r.followsAllKinds() != allKinds })
		stop()
		following.Wait()
		if r.followsStore() {
			continue
		}
		r.following.Store(false)
		r.options.Logger.Info("store followed by others")
		r.waitFor(ctx, ticker, r.followsStore)
	}
}

// waitFor returns when a condition holds or the context has ended.
func (r *Router) waitFor(ctx context.Context, ticker *time.Ticker, holds func() bool) {
	for ctx.Err() == nil && !holds() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *Router) followKind(ctx context.Context, kind objectapi.Kind) {
	fed := &follower{kind: kind, copy: r.copy, contact: r.contact, beforeWatch: r.awaitFirstWatch}
	switch kind {
	case r.options.Environment.BackendKind:
		r.nodesKnown.await(ctx, r.nodesKnownBy())
		if r.inLargeFleet.Load() && !r.followsStore() {
			return
		}
		fed.listed, fed.longList = r.backendsWhole, r.awaitFollowing
	case kindNode:
		_ = periodic.Pause(ctx, time.Until(r.started.Add(r.joinTime()))) // Follow looks at the context.
		fed.longList, fed.longFrom = r.meetNeighbours, longNodeList
		fed.listed = func() {
			r.nodesMet.set()
			r.nodesKnown.set()
		}
	}
	objectapi.Follow(ctx, r.options.Environment.Store, kind, fed)
}

// meetingTime is how long, at the first start of a large fleet, a node waits until it knows the others from the
// part of them that it has listed: some comparisons. Later starts do not wait, since the store has the objects
// of the starts before, and those with the widest links are among the parts that nodes list.
const meetingTime = 1500 * time.Millisecond

// nodesKnownBy is when this node acts by the nodes that it knows, whatever these are.
func (r *Router) nodesKnownBy() time.Time {
	return r.started.Add(r.joinTime() + listPatience + meetingTime)
}

// meetNeighbours reads on in a long list of nodes with those whose names come next after the own one, and leaves
// the rest to these.
func (r *Router) meetNeighbours(ctx context.Context) {
	if r.nodesMet.isSet() {
		return
	}
	r.inLargeFleet.Store(true)
	name := r.options.Settings.Name
	if pager, hasPages := r.options.Environment.Store.(objectapi.Pager); hasPages {
		page, err := pager.ListPage(ctx, kindNode, name[:len(name)-1])
		if err != nil {
			r.options.Logger.Warn("neighbours not listed", "error", err.Error())
		}
		for _, object := range page.Objects {
			r.copy.Apply(replica.SourceStore, replica.Record{Object: object})
		}
	}
	r.nodesMet.set()
	if r.options.Settings.FirstStart && periodic.Pause(ctx, meetingTime) != nil {
		return
	}
	r.nodesKnown.set()
	r.awaitFollowing(ctx)
}

// awaitFollowing returns where this node follows the store, or the context ends: what the rest of a long list
// holds comes from other nodes.
func (r *Router) awaitFollowing(ctx context.Context) {
	for ctx.Err() == nil && !r.followsStore() {
		_ = periodic.Pause(ctx, watcherInterval) // The context is looked at above.
	}
}

// registrationTime is how long after the first start of all machines a node lists the others. They start
// within less than that, so that the list is about whole, and each node knows whether it follows the store.
const registrationTime = time.Second

// joinTime is how long after its start this node lists the others.
func (r *Router) joinTime() time.Duration {
	if r.options.Settings.FirstStart {
		return registrationTime
	}
	return 0
}

// backendsWhole notes that this node knows all back ends.
func (r *Router) backendsWhole() {
	if r.backends.Synced() {
		return
	}
	r.backends.SetSynced()
	counts := []any{"after_ms", time.Since(r.started).Milliseconds()}
	for _, role := range []backend.Role{backend.RoleNone, backend.RolePrefill, backend.RoleDecode} {
		counts = append(counts, roleName(role), r.backends.CountReady(role))
	}
	r.options.Logger.Info("back ends known", counts...)
}

// refetch reads one object from the store, for a node that gets it from no other node.
func (r *Router) refetch(ctx context.Context, key replica.Key) {
	object, err := r.options.Environment.Store.Get(ctx, key.Kind, key.Name)
	if err != nil {
		r.options.Logger.Warn("object not fetched from the store", "kind", string(key.Kind), "name", key.Name, "error", err.Error())
		return
	}
	r.copy.Apply(replica.SourceStore, replica.Record{Object: object})
}

// contact knows whether the store answers, and logs when it is lost and when it
// is back.
type contact struct {
	logger *slog.Logger
	clock  *clock.Clock

	mu   sync.Mutex
	lost map[objectapi.Kind]bool
	// disturbedAt is when a call last failed.
	disturbedAt time.Time
	// answeredAt is when the store last answered.
	answeredAt time.Time
}

func newContact(logger *slog.Logger, counting *clock.Clock) *contact {
	return &contact{logger: logger, clock: counting, lost: map[objectapi.Kind]bool{}}
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
		c.answeredAt = c.clock.Now()
	}
	if err != nil {
		c.disturbedAt = c.clock.Now()
	}
}

// disturbed reports whether the store has failed in the time that has just passed.
func (c *contact) disturbed(lately time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.disturbedAt.IsZero() && c.clock.Since(c.disturbedAt) < lately
}

// age returns how long ago the store answered; zero if it never has.
func (c *contact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.IsZero() {
		return 0
	}
	return c.clock.Since(c.answeredAt)
}
