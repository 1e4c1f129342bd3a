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

// storeFeed updates the replica's objects of one kind from the store.
type storeFeed struct {
	kind        objectapi.Kind
	replica     *replica.Replica
	storeHealth *storeHealth
	// onReceived is called with each object of the store before it is applied.
	onReceived func(record replica.Record)
	// onListed is called after a complete list; it may be nil.
	onListed func()
	// onLongList is called after each page but the last, once the pages contained at least longListSize objects; it may
	// be nil.
	onLongList   func(ctx context.Context)
	longListSize int
	// pagedCount is the number of objects in the pages of the current list.
	pagedCount int
	// beforeWatch is called before the first watch; it may block until the context ends.
	beforeWatch func(ctx context.Context)
}

// Replace implements objectapi.Handler.
func (f *storeFeed) Replace(objects []objectapi.Object, revision int64) {
	f.pagedCount = 0
	for _, object := range objects {
		f.onReceived(replica.Record{Object: object})
		f.replica.Apply(replica.SourceStore, replica.Record{Object: object})
	}
	f.deferIfStoreFailed(func() { f.replica.Replace(f.kind, objects, revision) })
	if f.onListed != nil {
		f.onListed()
	}
}

// Apply implements objectapi.Handler.
func (f *storeFeed) Apply(event objectapi.Event) {
	record := replica.Record{Object: event.Object, Deleted: event.Deleted}
	f.onReceived(record)
	if !event.Deleted {
		f.replica.Apply(replica.SourceStore, record)
		return
	}
	f.deferIfStoreFailed(func() { f.replica.Apply(replica.SourceStore, record) })
}

const (
	// expiryWindow is the time after a failed store call in which a missing entry may merely have expired because its
	// backend could not renew it.
	expiryWindow = 4 * time.Second
	// expiryGrace is how long a missing entry is still kept. A live backend that reaches the store has its entry back
	// about two seconds after the store answers again.
	expiryGrace = 1800 * time.Millisecond
)

// deferIfStoreFailed applies a deletion, at once or, if the entry may merely have expired, after expiryGrace: an entry
// that was written again by then has a newer version and is kept.
func (f *storeFeed) deferIfStoreFailed(apply func()) {
	if f.storeHealth.failedWithin(expiryWindow) {
		time.AfterFunc(expiryGrace, apply)
		return
	}
	apply()
}

// PageListed implements objectapi.Handler. The objects of a page are applied before the list is complete.
func (f *storeFeed) PageListed(ctx context.Context, page []objectapi.Object) {
	for _, object := range page {
		f.replica.Apply(replica.SourceStore, replica.Record{Object: object})
	}
	f.pagedCount += len(page)
	if f.pagedCount >= f.longListSize && f.onLongList != nil {
		f.onLongList(ctx)
	}
}

// longNodeList is the number of nodes that a starting node lists before it relies on other nodes for the rest: if a
// thousand nodes start together and each lists all, the responses take a quarter of a gigabyte. Of the backends, it
// lists only the first page.
const longNodeList = 150

// StoreAnswered implements objectapi.Handler.
func (f *storeFeed) StoreAnswered(err error) { f.storeHealth.observe(f.kind, err) }

// firstWatchDelay is the time from listing the other nodes to a node's first watch of the store. By then the node
// knows the others, and most nodes need not watch at all: after a power failure of the whole fleet, each node that
// starts watches at once makes three unnecessary calls. Changes during the delay arrive with the watch or from other
// nodes, well within the time in which a configuration must reach all nodes.
const firstWatchDelay = 1200 * time.Millisecond

// BeforeWatch implements objectapi.Handler.
func (f *storeFeed) BeforeWatch(ctx context.Context) { f.beforeWatch(ctx) }

// awaitFirstWatch waits until this node can determine whether it must watch the store.
func (r *Router) awaitFirstWatch(ctx context.Context) {
	r.nodesKnown.await(ctx, r.nodesKnownBy())
	_ = periodic.Pause(ctx, time.Until(r.started.Add(r.joinTime()+firstWatchDelay))) // ListAndWatch checks the context.
}

// watcherInterval is the interval between checks whether a node must watch the store.
const watcherInterval = 500 * time.Millisecond

// replicaTimeout is how long a node that does not watch the store waits for all backends from other nodes before it
// lists them itself. Another node has them within a second or two, or a few seconds more after a power failure of the
// whole fleet.
const replicaTimeout = 6 * time.Second

// mustWatchStore reports whether this node must watch the store: it is selected to, or receives nothing from the
// watchers.
func (r *Router) mustWatchStore() bool { return r.isSelectedToWatch() || r.isStale() }

// isSelectedToWatch reports whether this node must watch the store regardless of what it receives: it does not know
// the other nodes yet, it is a watcher, or no other node has sent it a complete replica in time.
func (r *Router) isSelectedToWatch() bool {
	knowsNodes := r.nodesKnown.isSet() || !time.Now().Before(r.nodesKnownBy())
	return !knowsNodes || r.isWatcher() || !r.backends.Synced() && time.Since(r.started) > r.joinTime()+replicaTimeout
}

// watchStore keeps the replica's objects of the given kinds up to date until the context ends, from the store while
// this node watches it, and otherwise from other nodes.
func (r *Router) watchStore(ctx context.Context, kinds ...objectapi.Kind) {
	ticker := time.NewTicker(watcherInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		watching, stop := context.WithCancel(ctx)
		r.watching.Store(true)
		allKinds := r.watchesAllKinds()
		var watches sync.WaitGroup
		for _, kind := range kinds {
			if allKinds || kind == r.options.Environment.ConfigurationKind {
				watches.Go(func() { r.watchKind(watching, kind) })
			}
		}
		r.waitFor(ctx, ticker, func() bool { return !r.mustWatchStore() || r.watchesAllKinds() != allKinds })
		stop()
		watches.Wait()
		if r.mustWatchStore() {
			continue
		}
		r.watching.Store(false)
		r.options.Logger.Info("store is watched by other nodes")
		r.waitFor(ctx, ticker, r.mustWatchStore)
	}
}

// waitFor returns when a condition holds or the context has ended.
func (r *Router) waitFor(ctx context.Context, ticker *time.Ticker, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *Router) watchKind(ctx context.Context, kind objectapi.Kind) {
	feed := &storeFeed{kind: kind, replica: r.replica, storeHealth: r.storeHealth, onReceived: r.noteOutdated, beforeWatch: r.awaitFirstWatch}
	switch kind {
	case r.options.Environment.BackendKind:
		r.nodesKnown.await(ctx, r.nodesKnownBy())
		if r.inLargeFleet.Load() && !r.mustWatchStore() {
			return
		}
		feed.onListed, feed.onLongList = r.backendsComplete, r.awaitWatching
	case kindNode:
		_ = periodic.Pause(ctx, time.Until(r.started.Add(r.joinTime()))) // ListAndWatch checks the context.
		feed.onLongList, feed.longListSize = r.listNeighbours, longNodeList
		feed.onListed = func() {
			r.someNodesKnown.set()
			r.nodesKnown.set()
		}
	}
	objectapi.ListAndWatch(ctx, r.options.Environment.Store, kind, feed)
}

// discoveryTime is how long, at the first start of a large fleet, a node waits to learn of the others by anti-entropy
// exchanges after it has listed a part of them: the time of several comparisons. Later starts do not wait, since the
// store has the objects of earlier starts, and the nodes with the widest links are among the parts that nodes list.
const discoveryTime = 1500 * time.Millisecond

// nodesKnownBy is the time from which this node relies on the nodes that it knows, however many these are.
func (r *Router) nodesKnownBy() time.Time {
	return r.started.Add(r.joinTime() + nodeListTimeout + discoveryTime)
}

// listNeighbours continues a long list of nodes with those whose names follow the node's own. The rest is received
// from these nodes.
func (r *Router) listNeighbours(ctx context.Context) {
	if r.someNodesKnown.isSet() {
		return
	}
	r.inLargeFleet.Store(true)
	name := r.options.Settings.Name
	if pager, hasPages := r.options.Environment.Store.(objectapi.Pager); hasPages {
		page, err := pager.ListPage(ctx, kindNode, name[:len(name)-1])
		if err != nil {
			r.options.Logger.Warn("failed to list the nodes that follow this one by name", "error", err.Error())
		}
		for _, object := range page.Objects {
			r.replica.Apply(replica.SourceStore, replica.Record{Object: object})
		}
	}
	r.someNodesKnown.set()
	if r.options.Settings.FirstStart && periodic.Pause(ctx, discoveryTime) != nil {
		return
	}
	r.nodesKnown.set()
	r.awaitWatching(ctx)
}

// awaitWatching returns when this node must watch the store or the context ends. Until then the rest of a long list
// comes from other nodes.
func (r *Router) awaitWatching(ctx context.Context) {
	for ctx.Err() == nil && !r.mustWatchStore() {
		_ = periodic.Pause(ctx, watcherInterval) // The loop checks the context.
	}
}

// registrationTime is how long after the first start of the fleet a node lists the others. All machines start within
// less than that, so that the list is nearly complete, and each node can determine whether it must watch the store.
const registrationTime = time.Second

// joinTime returns how long after its start this node lists the others.
func (r *Router) joinTime() time.Duration {
	if r.options.Settings.FirstStart {
		return registrationTime
	}
	return 0
}

// backendsComplete records that this node has all backends.
func (r *Router) backendsComplete() {
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

// refetch reads one object from the store, for a node that receives it from no other node.
func (r *Router) refetch(ctx context.Context, key replica.Key) {
	object, err := r.options.Environment.Store.Get(ctx, key.Kind, key.Name)
	if err != nil {
		r.options.Logger.Warn("object not fetched from the store", "kind", string(key.Kind), "name", key.Name, "error", err.Error())
		return
	}
	r.replica.Apply(replica.SourceStore, replica.Record{Object: object})
}

// storeHealth tracks whether the store answers, and logs when contact is lost and regained.
type storeHealth struct {
	logger *slog.Logger
	clock  *clock.Clock

	mu      sync.Mutex
	failing map[objectapi.Kind]bool
	// lastFailure is when a call last failed.
	lastFailure time.Time
	// lastResponse is when the store last answered.
	lastResponse time.Time
}

func newStoreHealth(logger *slog.Logger, clk *clock.Clock) *storeHealth {
	return &storeHealth{logger: logger, clock: clk, failing: map[objectapi.Kind]bool{}}
}

func (h *storeHealth) observe(kind objectapi.Kind, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil && !h.failing[kind]:
		h.logger.Warn("store lost", "kind", string(kind), "error", err.Error())
	case err == nil && h.failing[kind]:
		h.logger.Info("store back", "kind", string(kind))
	}
	h.failing[kind] = err != nil
	if err == nil {
		h.lastResponse = h.clock.Now()
	}
	if err != nil {
		h.lastFailure = h.clock.Now()
	}
}

// noteRestore records that the store has been restored from a copy: entries written since the copy are missing until
// their writers write them again, as after an outage.
func (h *storeHealth) noteRestore() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailure = h.clock.Now()
}

// failedWithin reports whether a call to the store has failed in the given time.
func (h *storeHealth) failedWithin(window time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.lastFailure.IsZero() && h.clock.Since(h.lastFailure) < window
}

// sinceResponse returns the time since the store's last response, or zero if it has never answered.
func (h *storeHealth) sinceResponse() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastResponse.IsZero() {
		return 0
	}
	return h.clock.Since(h.lastResponse)
}
