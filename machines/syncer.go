package machines

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/tasks"
)

const (
	watchersPerZone    = 2
	watcherKey         = "machine-watcher"
	watchCheckInterval = time.Second
	// watchLength bounds one watch, after which the list is read again: otherwise a platform that has stopped
	// responding could not be distinguished from one without changes.
	watchLength = 5 * time.Second
	// maxAge is the age of the view from which a pool owner reads the list from the platform itself.
	maxAge = 8 * time.Second
	// readInterval is the minimum time between two reads because of the view's age.
	readInterval = 2 * time.Second
	pullTimeout  = 2 * time.Second
)

// Placement reports whether the node is one of the first of its zone for a key.
type Placement interface {
	IsAmongTop(key string, count int) bool
}

// PeerCaller calls a node by its address.
type PeerCaller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

// Syncer keeps a List up to date.
type Syncer struct {
	list      *List
	store     objectapi.Store
	placement Placement
	caller    PeerCaller
	metrics   *metrics.Set
	changed   func()

	mu       sync.Mutex
	pulling  bool
	lastRead time.Time
	pulls    tasks.Group
}

// NewSyncer returns a syncer that calls changed when the view changes.
func NewSyncer(list *List, store objectapi.Store, placement Placement, caller PeerCaller, set *metrics.Set, changed func()) *Syncer {
	return &Syncer{list: list, store: store, placement: placement, caller: caller, metrics: set, changed: changed}
}

// Run watches the list whenever the node is selected to, until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.pulls.Close()
	periodic.RunNow(ctx, watchCheckInterval, func(ctx context.Context) {
		if s.placement.IsAmongTop(watcherKey, watchersPerZone) {
			s.watch(ctx)
		}
	})
}

func (s *Syncer) watch(ctx context.Context) {
	revision, err := s.read(ctx)
	if err != nil {
		s.metrics.Add("machine_list_errors", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, watchLength)
	defer cancel()
	err = s.store.Watch(ctx, objectapi.KindMachine, revision, func(event objectapi.Event) {
		if err := s.list.apply(event.Object, event.Deleted); err != nil {
			s.metrics.Add("machine_list_errors", 1)
			return
		}
		s.changed()
	})
	if err != nil && ctx.Err() == nil {
		s.metrics.Add("machine_watch_ends", 1)
	}
}

// read replaces the view with the platform's list.
func (s *Syncer) read(ctx context.Context) (int64, error) {
	objects, revision, err := s.store.List(ctx, objectapi.KindMachine)
	if err != nil {
		return 0, err
	}
	view := View{Machines: make([]Machine, len(objects))}
	for i, object := range objects {
		if err := json.Unmarshal(object.Spec, &view.Machines[i]); err != nil {
			return 0, errors.Wrapf(err, "decode machine %s", object.Name)
		}
		view.Revision = max(view.Revision, object.Version)
	}
	if s.list.Replace(view, 0) {
		s.changed()
	}
	return revision, nil
}

// EnsureFresh reads the list from the platform if the view is too old to grant work on its basis.
func (s *Syncer) EnsureFresh(ctx context.Context) {
	if s.list.Age() < maxAge {
		return
	}
	s.mu.Lock()
	recent := time.Since(s.lastRead) < readInterval
	if !recent {
		s.lastRead = time.Now()
	}
	s.mu.Unlock()
	if recent {
		return
	}
	s.metrics.Add("machine_list_asked", 1)
	if _, err := s.read(ctx); err != nil {
		s.metrics.Add("machine_list_errors", 1)
	}
}

// Observe processes the revision of the view that a heartbeat's sender holds, and fetches the view if it is
// newer.
func (s *Syncer) Observe(address string, revision int64, age time.Duration) {
	if revision <= s.list.Revision() {
		s.list.Refresh(revision, age)
		return
	}
	s.mu.Lock()
	busy := s.pulling
	s.pulling = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.pulls.Go(func() { s.pull(address, age) })
}

func (s *Syncer) pull(address string, age time.Duration) {
	defer func() {
		s.mu.Lock()
		s.pulling = false
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := s.caller.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_FetchHead{FetchHead: &peerpb.FetchHead{Machines: true}}})
	if err != nil {
		s.metrics.Add("machine_pull_errors", 1)
		return
	}
	var view View
	if err := json.Unmarshal(response.GetContent().GetData(), &view); err != nil {
		s.metrics.Add("machine_pull_errors", 1)
		return
	}
	s.list.Replace(view, age)
}
