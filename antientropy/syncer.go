package antientropy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// Defaults of Options.
const (
	defaultInterval            = 400 * time.Millisecond
	defaultCallTimeout         = 300 * time.Millisecond
	defaultExchangeTimeout     = 2 * time.Second
	defaultFanout              = 3
	defaultUnresponsiveBackoff = 2 * time.Second
	// maxExchanges bounds the exchanges of objects that run at once. Each carries up to 128 KiB, which takes
	// 105 ms on a link of 10 Mbit/s.
	maxExchanges = 4
	// uploadShare is the share of the link that sending chunks may use. The rest is for requests, and for the
	// comparisons that detect unresponsive nodes.
	uploadShare = 0.6
	// uploadBurst is how long chunks may use the whole link.
	uploadBurst = 50 * time.Millisecond
)

// Options configures a Syncer.
type Options struct {
	Replica *replica.Replica
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Monitored returns the addresses of nodes that are compared with in addition to the partners, whatever
	// their zone: those that watch the store, or all nodes if this node removes lost ones. Default: none.
	Monitored func() []string
	// SameZone reports whether a node is in this node's zone. Updates are pushed to nodes of the zone. Default:
	// all nodes are in it.
	SameZone func(address string) bool
	// RemoteRelays returns zone relays of other zones, to which updates from the store are pushed too. Default:
	// none.
	RemoteRelays func() []string
	// IsZoneRelay reports whether this node exchanges objects with nodes of other zones. Default: it does.
	IsZoneRelay func() bool
	// Complete reports whether this node's replica is complete: all kinds have been listed. Default: it never
	// is.
	Complete func() bool
	// WatchesStore reports whether this node watches the store. Default: it does.
	WatchesStore func() bool
	// OnComplete is called once the replica has everything that a complete one has, even if this node has
	// listed nothing from the store. It may be called more than once. Default: no call.
	OnComplete func()
	// Address is the address at which other nodes reach this one. Without it, no node fetches chunks of objects
	// that this node has announced or sent.
	Address string
	// LinkBytes is the bandwidth of this node's link in bytes per second. Default: unlimited.
	LinkBytes float64
	// Refetch reads from the store an object that no node can send any more, and applies it. Default: no call.
	Refetch func(ctx context.Context, key replica.Key)
	// Client calls other nodes.
	Client *peer.Client
	Logger *slog.Logger
	// Interval is the time between two comparisons. Default 400ms.
	Interval time.Duration
	// CallTimeout bounds the comparison of two digests, which decides whether a node is responsive. Default
	// 300ms.
	CallTimeout time.Duration
	// ExchangeTimeout bounds one exchange of objects, which carries up to 128 KiB on a connection of its own. A
	// node that exceeds it does not count as unresponsive. Default 2s.
	ExchangeTimeout time.Duration
	// Fanout is the number of nodes to which an update is pushed at once. Default 3.
	Fanout int
	// UnresponsiveBackoff is how long a node that did not answer is not called again. Default 2s.
	UnresponsiveBackoff time.Duration
}

// Syncer compares this node's replica with those of other nodes.
type Syncer struct {
	options Options
	// updates and urgentUpdates signal that the replica has changed; pending holds the changed objects.
	updates, urgentUpdates chan struct{}
	pending                pendingUpdates

	started time.Time
	// salt gives each node a different order of the other nodes.
	salt string
	// permute shuffles a number of elements; tests replace it.
	permute func(count int, swap func(i, j int))
	// verifying deduplicates the comparisons with nodes that did not answer a call.
	verifying singleflight.Group
	// transfers fetches chunked objects.
	transfers *transfers
	// uploads limits the chunks that this node sends, in bytes.
	uploads *rate.Limiter
	// background waits for work that runs concurrently with the comparisons; ctx ends that work.
	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
	// responsivenessChanges counts the changes of unresponsive.
	responsivenessChanges atomic.Uint64

	mu sync.Mutex
	// rounds counts the rounds of periodic comparisons.
	rounds int
	// unresponsive holds the nodes that did not answer.
	unresponsive map[string]unresponsiveState
	// zoneContactAt is when a node of this zone last answered.
	zoneContactAt time.Time
	// supportsParts holds the nodes that can compare parts of buckets.
	supportsParts map[string]bool
	// pushedAt is when updates were last pushed, and exchangedAt when the last exchange of objects began.
	pushedAt, exchangedAt time.Time
	// pushing holds the nodes to which updates are being pushed.
	pushing map[string]bool
	// exchanging holds the exchanges of objects in progress, by the other node's address.
	exchanging map[string]ongoingExchange
	// confirmedAt is the latest time at which a node that watches the store is known to have had the urgent
	// objects of this replica.
	confirmedAt time.Time
	// completeBuckets marks the buckets that this node has taken over from complete replicas.
	completeBuckets [replica.BucketCount]bool
}

// New returns a syncer that is idle until Run.
func New(options Options) *Syncer {
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.ExchangeTimeout == 0 {
		options.ExchangeTimeout = defaultExchangeTimeout
	}
	if options.Fanout == 0 {
		options.Fanout = defaultFanout
	}
	if options.UnresponsiveBackoff == 0 {
		options.UnresponsiveBackoff = defaultUnresponsiveBackoff
	}
	if options.Complete == nil {
		options.Complete = func() bool { return false }
	}
	if options.WatchesStore == nil {
		options.WatchesStore = func() bool { return true }
	}
	if options.OnComplete == nil {
		options.OnComplete = func() {}
	}
	if options.SameZone == nil {
		options.SameZone = func(string) bool { return true }
	}
	if options.IsZoneRelay == nil {
		options.IsZoneRelay = func() bool { return true }
	}
	if options.RemoteRelays == nil {
		options.RemoteRelays = func() []string { return nil }
	}
	if options.Monitored == nil {
		options.Monitored = func() []string { return nil }
	}
	if options.Refetch == nil {
		options.Refetch = func(context.Context, replica.Key) {}
	}
	s := &Syncer{
		options: options, updates: make(chan struct{}, 1), urgentUpdates: make(chan struct{}, 1), unresponsive: map[string]unresponsiveState{},
		started: time.Now(), salt: uuid.NewString(), permute: rand.Shuffle,
		uploads:    newUploadLimiter(options.LinkBytes),
		exchanging: map[string]ongoingExchange{}, confirmedAt: time.Now(), supportsParts: map[string]bool{}, pushing: map[string]bool{},
	}
	s.transfers = newTransfers(s)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// newUploadLimiter limits the chunks that a node sends over a link of linkBytes per second.
func newUploadLimiter(linkBytes float64) *rate.Limiter {
	if linkBytes <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(2*chunk.MaxBytes, int(linkBytes*uploadBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(linkBytes*uploadShare), burst)
}

// inBackground runs work concurrently with the comparisons. Close ends it.
func (s *Syncer) inBackground(work func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.background.Go(func() { work(s.ctx) })
}

// Close stops the background work and waits for it.
func (s *Syncer) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.background.Wait()
}

// ScheduleSync schedules a push or comparison, which may be delayed while pushes are throttled. It never
// blocks.
func (s *Syncer) ScheduleSync() { notify(s.updates) }

// ScheduleUrgentSync schedules an immediate push or comparison. It never blocks.
func (s *Syncer) ScheduleUrgentSync() { notify(s.urgentUpdates) }

func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// Run compares the replica with those of other nodes and pushes updates until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.Close()
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	s.noteConfirmed(time.Now())
	var throttle pushThrottle
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.forEach(s.selectPeers(), func(address string) { s.syncWith(ctx, address) })
		case <-throttle.expired:
			throttle.release()
		case <-throttle.gate(s.updates):
			s.pushUpdates(ctx)
			throttle.start(time.Now())
		case <-s.urgentUpdates:
			s.pushUpdates(ctx)
		}
	}
}

// syncWith compares the replicas of this node and another one, and starts an exchange of the objects that
// differ.
func (s *Syncer) syncWith(ctx context.Context, address string) {
	began := time.Now()
	compared, err := s.compare(ctx, address)
	if err != nil && !errors.Is(err, peer.ErrNotSent) {
		compared, err = s.compareOnNewConnection(ctx, address, began)
	}
	if ctx.Err() != nil {
		return
	}
	s.noteContact(address, err)
	if err == nil && !slices.Contains(compared.differing, replica.UrgentBucket) {
		s.noteConfirmed(compared.confirmedAt)
	}
	if err != nil || len(compared.differing) == 0 || !s.mayExchange(address) {
		return
	}
	if !compared.otherComplete && !s.mayRepair() || !s.beginExchange(address) {
		// A later comparison starts the exchange.
		return
	}
	s.inBackground(func(ctx context.Context) {
		defer s.endExchange(address)
		if err := s.exchangeAll(ctx, address, compared); err != nil {
			s.logBulkFailure(ctx, "exchange failed", address, err)
			return
		}
		s.noteConfirmed(compared.confirmedAt)
	})
}

// comparison is the result of comparing this node's replica with another one.
type comparison struct {
	// differing are the buckets that differ, in the order in which they are exchanged.
	differing []int
	// otherComplete is set where the other replica is complete and this one is not known to be.
	otherComplete bool
	// supportsParts is set where the other node can compare parts of buckets; older builds cannot.
	supportsParts bool
	// confirmedAt is the latest time at which a node that watches the store is known to have had the urgent
	// objects of the other replica.
	confirmedAt time.Time
}

// compare asks another node whether its replica differs. The call is short, and decides whether the node is
// responsive.
func (s *Syncer) compare(ctx context.Context, address string) (comparison, error) {
	began := time.Now()
	response, err := s.call(ctx, peer.LaneControl, address, s.options.CallTimeout, &peerpb.Request{Body: &peerpb.Request_CompareReplicas{
		CompareReplicas: &peerpb.CompareReplicas{Digest: s.options.Replica.Digest()},
	}})
	if err != nil {
		return comparison{}, errors.Wrap(err, "compare replicas")
	}
	versions := response.GetReplicaVersions()
	s.notePartsSupport(address, versions.GetComparesParts())
	// A complete replica stays complete: once this one is, there is nothing left to record.
	compared := comparison{otherComplete: versions.GetWhole() && !s.options.Complete(), supportsParts: versions.GetComparesParts(), confirmedAt: confirmedAt(began, versions)}
	if !versions.GetSame() {
		compared.differing = shuffled(s.options.Replica.DifferingBuckets(versions.GetBuckets()))
	}
	if compared.otherComplete {
		s.markComplete(bucketsExcept(compared.differing))
	}
	return compared, nil
}

// compareOnNewConnection is compare on a connection that was opened after the given time. Established
// connections may stop delivering permanently, without a reset, while new ones work; yamux has no keep-alive
// here, since comparisons serve that purpose.
func (s *Syncer) compareOnNewConnection(ctx context.Context, address string, openedAfter time.Time) (comparison, error) {
	s.options.Client.ResetLane(peer.LaneControl, address, openedAfter)
	// Whatever stalled this connection may have stalled the bulk connection too. A call in progress there may
	// only be slow.
	s.options.Client.ResetUnusedLane(peer.LaneBulk, address, openedAfter)
	return s.compare(ctx, address)
}

// bucketsExcept returns all buckets but the given ones.
func bucketsExcept(buckets []int) []int {
	others := make([]int, 0, replica.BucketCount-len(buckets))
	for i := range replica.BucketCount {
		if !slices.Contains(buckets, i) {
			others = append(others, i)
		}
	}
	return others
}

// markComplete records that some buckets have everything that a complete replica has. Once all of them do, this
// replica is complete as well.
func (s *Syncer) markComplete(buckets []int) {
	s.mu.Lock()
	for _, bucket := range buckets {
		s.completeBuckets[bucket] = true
	}
	isComplete := !slices.Contains(s.completeBuckets[:], false)
	s.mu.Unlock()
	if isComplete {
		s.options.OnComplete()
	}
}

func (s *Syncer) call(
	ctx context.Context, lane peer.Lane, address string, timeout time.Duration, request *peerpb.Request,
) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	response, err := s.options.Client.CallOn(ctx, lane, address, request)
	if err != nil && lane == peer.LaneBulk {
		// The next call opens a new connection. Comparisons do so themselves.
		s.options.Client.ResetLane(lane, address, began)
	}
	return response, err
}
