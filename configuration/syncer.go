package configuration

import (
	"context"
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
	// watchersPerZone is the number of nodes of a zone that watch the head.
	watchersPerZone = 2
	watcherKey      = "configuration-watcher"
	// watchCheckInterval is the interval at which a node checks whether it has to watch.
	watchCheckInterval = time.Second
	// pullTimeout bounds fetching a version from a peer.
	pullTimeout = 5 * time.Second
)

// Placement reports whether the node is one of the first of its zone for a key, and the addresses of the other
// nodes of its zone.
type Placement interface {
	IsAmongTop(key string, count int) bool
	// ZonePeers returns the peer addresses of the other live nodes of the zone.
	ZonePeers() []string
}

// PeerCaller calls a node by its address.
type PeerCaller interface {
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

// Syncer keeps a Holder at the newest accepted version.
type Syncer struct {
	holder    *Holder
	store     objectapi.Store
	placement Placement
	caller    PeerCaller
	metrics   *metrics.Set
	now       func() time.Time

	mu sync.Mutex
	// confirmed is set once the platform or a peer has answered since the start, and newest is the highest
	// version that any of them has reported.
	confirmed bool
	newest    uint64
	started   time.Time
	pulling   map[string]bool
	pulls     tasks.Group
}

// NewSyncer returns a syncer that is idle until Run.
func NewSyncer(holder *Holder, store objectapi.Store, placement Placement, caller PeerCaller, set *metrics.Set, now func() time.Time) *Syncer {
	return &Syncer{
		holder: holder, store: store, placement: placement, caller: caller,
		metrics: set, now: now, pulling: map[string]bool{}, started: now(),
	}
}

// Run reads the head from the platform once, and then watches it whenever the node is selected to, until the
// context ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.pulls.Close()
	periodic.RunNow(ctx, watchCheckInterval, func(ctx context.Context) {
		if !s.Synced() || s.placement.IsAmongTop(watcherKey, watchersPerZone) {
			s.watch(ctx)
		}
	})
}

// watch reads the head and follows it until the watch ends or the node is no longer selected.
func (s *Syncer) watch(ctx context.Context) {
	objects, revision, err := s.store.List(ctx, objectapi.KindConfiguration)
	if err != nil {
		s.metrics.Add("configuration_platform_errors", 1)
		return
	}
	s.confirm()
	for _, object := range objects {
		s.advance(ctx, object)
	}
	if !s.placement.IsAmongTop(watcherKey, watchersPerZone) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.resign(ctx, cancel)
	s.metrics.Add("configuration_watches", 1)
	err = s.store.Watch(ctx, objectapi.KindConfiguration, revision, func(event objectapi.Event) {
		s.confirm()
		s.advance(ctx, event.Object)
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		s.metrics.Add("configuration_watch_ends", 1)
	}
}

// resign ends the watch when another node has taken over.
func (s *Syncer) resign(ctx context.Context, cancel context.CancelFunc) {
	periodic.Run(ctx, watchCheckInterval, func(context.Context) {
		if !s.placement.IsAmongTop(watcherKey, watchersPerZone) {
			cancel()
		}
	})
}

func (s *Syncer) advance(ctx context.Context, object objectapi.Object) {
	if object.Name != HeadName {
		return
	}
	head, err := DecodeHead(object.Spec)
	s.noteVersion(head.Version)
	if !s.mayRead() {
		return
	}
	if err == nil {
		err = s.holder.Advance(ctx, head, s.fromZonePeers())
	}
	if err != nil {
		s.metrics.Add("configuration_advance_errors", 1)
	}
}

// peerGracePeriod is how long a starting node that does not watch waits for its peers to provide the configuration.
// When a whole fleet starts, only the watchers read the parts from the platform.
const peerGracePeriod = 3 * time.Second

func (s *Syncer) mayRead() bool {
	return s.placement.IsAmongTop(watcherKey, watchersPerZone) || len(s.placement.ZonePeers()) == 0 || s.now().Sub(s.started) > peerGracePeriod
}

// zonePeerAttempts is the number of nodes of the zone from which a part is requested before it is read from the
// platform.
const zonePeerAttempts = 2

// fromZonePeers returns a FetchPart that fetches from nodes of the zone, and from the platform if they do not
// have the part.
func (s *Syncer) fromZonePeers() FetchPart {
	return func(ctx context.Context, digest string) ([]byte, error) {
		zonePeers := s.placement.ZonePeers()
		for _, address := range zonePeers[:min(len(zonePeers), zonePeerAttempts)] {
			if data, err := s.partFrom(ctx, address, digest); err == nil {
				return data, nil
			}
		}
		return FromStore(s.store)(ctx, digest)
	}
}

func (s *Syncer) partFrom(ctx context.Context, address, digest string) ([]byte, error) {
	request := &peerpb.Request{Body: &peerpb.Request_FetchPart{FetchPart: &peerpb.FetchPart{Digest: digest}}}
	response, err := s.caller.Call(ctx, address, request)
	return response.GetContent().GetData(), err
}

// noteVersion records a version that the platform or a peer has reported.
func (s *Syncer) noteVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest = max(s.newest, version)
}

func (s *Syncer) confirm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = true
}

// Synced reports whether the platform or a peer has reported the newest version since the start of the node,
// and the node has it.
func (s *Syncer) Synced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed && s.holder.Current().Version() >= s.newest
}

// Observe processes the version that is active at a heartbeat's sender, and fetches it if it is newer.
func (s *Syncer) Observe(address string, version uint64) {
	s.noteVersion(version)
	if version <= s.holder.Current().Version() {
		s.confirmFromPeer(version)
		return
	}
	s.mu.Lock()
	busy := s.pulling[address]
	s.pulling[address] = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.pulls.Go(func() { s.pull(address) })
}

// confirmFromPeer records that a peer which has a configuration has nothing newer.
func (s *Syncer) confirmFromPeer(version uint64) {
	if version == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = true
}

func (s *Syncer) pull(address string) {
	defer func() {
		s.mu.Lock()
		delete(s.pulling, address)
		s.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	response, err := s.caller.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_FetchHead{FetchHead: &peerpb.FetchHead{}}})
	if err != nil {
		s.metrics.Add("configuration_pull_errors", 1)
		return
	}
	head, err := DecodeHead(response.GetContent().GetData())
	if err == nil {
		err = s.holder.Advance(ctx, head, s.fromPeer(address))
	}
	if err != nil {
		s.metrics.Add("configuration_pull_errors", 1)
		return
	}
	s.metrics.Add("configuration_pulls", 1)
	s.confirmFromPeer(head.Version)
}

// fromPeer returns a FetchPart that fetches from a peer, and from the platform if the peer no longer has the part.
func (s *Syncer) fromPeer(address string) FetchPart {
	return func(ctx context.Context, digest string) ([]byte, error) {
		data, err := s.partFrom(ctx, address, digest)
		if err == nil {
			return data, nil
		}
		return FromStore(s.store)(ctx, digest)
	}
}

// Probe reads the head from the platform, which shows whether the platform is reachable.
func (s *Syncer) Probe(ctx context.Context) {
	head, err := ReadHead(ctx, s.store)
	if err != nil {
		s.metrics.Add("configuration_platform_errors", 1)
		return
	}
	s.confirm()
	if err := s.holder.Advance(ctx, head, FromStore(s.store)); err != nil {
		s.metrics.Add("configuration_advance_errors", 1)
	}
}
