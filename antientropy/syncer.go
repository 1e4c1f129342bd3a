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
	defaultInterval        = 400 * time.Millisecond
	defaultCallTimeout     = 300 * time.Millisecond
	defaultExchangeTimeout = 2 * time.Second
	defaultFanout          = 3
	defaultAvoidance       = 2 * time.Second
	// maxExchanges is how many exchanges of objects run at once. Each has up to 128 KiB, 105 ms of
	// a link of 10 Mbit/s.
	maxExchanges = 4
	// uploadShare is the part of the link that chunks may take. The rest is for requests, and
	// for the calls by which nodes know that others live.
	uploadShare = 0.6
	// uploadBurst is how long chunks may take all of the link.
	uploadBurst = 50 * time.Millisecond
)

// Options are the parts of a Syncer.
type Options struct {
	Replica *replica.Replica
	// Peers returns the addresses of the other nodes.
	Peers func() []string
	// Monitored returns the addresses of other nodes that this one looks at besides: those that
	// hear first from the store. Default: none.
	Monitored func() []string
	// SameZone reports whether a node is in the zone of this one. News go to such nodes. Default: all
	// are.
	SameZone func(address string) bool
	// RemoteRelays returns the nodes of other zones to which this one brings news besides. Default: none.
	RemoteRelays func() []string
	// IsZoneRelay reports whether this node exchanges objects with nodes of other zones. Default: it does.
	IsZoneRelay func() bool
	// Complete reports whether the copy of this node is whole: it has listed all kinds. Default:
	// it never is.
	Complete func() bool
	// WatchesStore reports whether this node follows the store. Default: it does.
	WatchesStore func() bool
	// OnComplete is called once the copy has all that a whole one has, though this node
	// may have listed nothing. It may be called again. Default: nothing.
	OnComplete func()
	// Address is where other nodes find this one. Without it, nobody fetches chunks here that
	// this node has announced or sent.
	Address string
	// LinkBytes is what the link of this node carries, in bytes a second. Default: no bound.
	LinkBytes float64
	// Refetch asks the store for an object that no node sends any more, and applies it. Default:
	// nothing.
	Refetch func(ctx context.Context, key replica.Key)
	// Client calls them.
	Client *peer.Client
	Logger *slog.Logger
	// Interval is the time between two comparisons. Default 400ms.
	Interval time.Duration
	// CallTimeout bounds the comparison of two digests, by which a node is known to live.
	// Default 300ms.
	CallTimeout time.Duration
	// ExchangeTimeout bounds one exchange of objects, which has up to 128 KiB and its own
	// connection. A node that misses it does not count as lost. Default 2s.
	ExchangeTimeout time.Duration
	// Fanout is to how many nodes news are brought at once. Default 2.
	Fanout int
	// UnresponsiveBackoff is how long a node that did not answer is left alone. Default 2s.
	UnresponsiveBackoff time.Duration
}

// Syncer compares the copy of this node with those of others.
type Syncer struct {
	options Options
	// news and urgentNews tell that the copy has changed, and fresh holds what.
	news, urgentNews chan struct{}
	fresh            freshObjects

	started time.Time
	// salt makes this node's order of the others its own.
	salt string
	// permute puts a number of things into an order by chance.
	permute func(count int, swap func(i, j int))
	// verifying holds the nodes that are compared with because they did not answer a call.
	verifying singleflight.Group
	// transfers fetches long objects.
	transfers *transfers
	// uploads bounds the chunks that this node sends, in bytes.
	uploads *rate.Limiter
	// background counts what runs beside the comparisons; ctx ends it.
	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
	// contactChanges counts changes of silent.
	contactChanges atomic.Uint64

	mu sync.Mutex
	// rounds counts the draws that brought no news.
	rounds int
	// silent holds the nodes that did not answer.
	silent map[string]silence
	// neighbourAt is when a node of this zone last answered.
	neighbourAt time.Time
	// byPart holds the nodes that compare parts of buckets.
	byPart map[string]bool
	// spreadAt is when news were last spread, and exchangedAt when the last exchange of objects began.
	spreadAt, exchangedAt time.Time
	// bringing holds the nodes to which news are being brought.
	bringing map[string]bool
	// exchanging holds the nodes with which objects are exchanged at present.
	exchanging map[string]ongoingExchange
	// agreedAt is when a node that follows the store had the urgent objects of this copy.
	agreedAt time.Time
	// covered marks the buckets that this node has taken over from whole copies.
	covered [replica.BucketCount]bool
}

// New returns a syncer that does nothing until Run.
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
		options.UnresponsiveBackoff = defaultAvoidance
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
		options: options, news: make(chan struct{}, 1), urgentNews: make(chan struct{}, 1), silent: map[string]silence{},
		started: time.Now(), salt: uuid.NewString(), permute: rand.Shuffle,
		uploads:    newUploadLimiter(options.LinkBytes),
		exchanging: map[string]ongoingExchange{}, agreedAt: time.Now(), byPart: map[string]bool{}, bringing: map[string]bool{},
	}
	s.transfers = newTransfers(s)
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// newUploadLimiter bounds the chunks that a node sends over a link of so many bytes a second.
func newUploadLimiter(linkBytes float64) *rate.Limiter {
	if linkBytes <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	burst := max(2*chunk.MaxBytes, int(linkBytes*uploadBurst.Seconds()))
	return rate.NewLimiter(rate.Limit(linkBytes*uploadShare), burst)
}

// inBackground runs a part of the work beside the comparisons, until Close at the latest.
func (s *Syncer) inBackground(work func(ctx context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	s.background.Go(func() { work(s.ctx) })
}

// Close ends what runs in the background.
func (s *Syncer) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.background.Wait()
}

// ScheduleSync has the copy compared soon. It never blocks.
func (s *Syncer) ScheduleSync() { notify(s.news) }

// ScheduleUrgentSync has the copy compared at once. It never blocks.
func (s *Syncer) ScheduleUrgentSync() { notify(s.urgentNews) }

func notify(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Run compares until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.Close()
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	s.noteAgreement(time.Now())
	var rest newsRest
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.forEach(s.draw(), func(address string) { s.syncWith(ctx, address) })
		case <-rest.over:
			rest.end()
		case <-rest.unless(s.news):
			s.spreadNews(ctx)
			rest.begin(time.Now())
		case <-s.urgentNews:
			s.spreadNews(ctx)
		}
	}
}

// syncWith compares the copies of this node and another one, and begins to make them alike.
func (s *Syncer) syncWith(ctx context.Context, address string) {
	began := time.Now()
	compared, err := s.compare(ctx, address)
	if err != nil && !errors.Is(err, peer.ErrNotSent) {
		compared, err = s.compareAnew(ctx, address, began)
	}
	if ctx.Err() != nil {
		return
	}
	s.noteContact(address, err)
	if err == nil && !slices.Contains(compared.differing, replica.UrgentBucket) {
		s.noteAgreement(compared.agreedAt)
	}
	if err != nil || len(compared.differing) == 0 || !s.mayExchange(address) {
		return
	}
	if !compared.covers && !s.mayRepair() || !s.beginExchange(address) {
		// The next comparison goes on.
		return
	}
	s.inBackground(func(ctx context.Context) {
		defer s.endExchange(address)
		if err := s.exchangeAll(ctx, address, compared); err != nil {
			s.bulkFailed(ctx, "exchange failed", address, err)
			return
		}
		s.noteAgreement(compared.agreedAt)
	})
}

// comparison is what a node knows of another one's copy.
type comparison struct {
	// differing are the buckets that differ, in the order in which they are exchanged.
	differing []int
	// covers is set where the other copy is whole and this one is not known to be.
	covers bool
	// byPart is set where the other node compares parts of buckets; older builds do not.
	byPart bool
	// agreedAt is when a node that follows the store had the urgent objects of the other copy.
	agreedAt time.Time
}

// compare asks another node whether its copy differs. It is a short call, by which nodes know
// that others live.
func (s *Syncer) compare(ctx context.Context, address string) (comparison, error) {
	began := time.Now()
	response, err := s.call(ctx, peer.LaneControl, address, s.options.CallTimeout, &peerpb.Request{Body: &peerpb.Request_CompareReplicas{
		CompareReplicas: &peerpb.CompareReplicas{Digest: s.options.Replica.Digest()},
	}})
	if err != nil {
		return comparison{}, errors.Wrap(err, "compare copies")
	}
	versions := response.GetReplicaVersions()
	s.noteBuild(address, versions.GetComparesParts())
	// A copy that is whole stays so: there is nothing to note any more.
	compared := comparison{covers: versions.GetWhole() && !s.options.Complete(), byPart: versions.GetComparesParts(), agreedAt: agreedAt(began, versions)}
	if !versions.GetSame() {
		compared.differing = shuffled(s.options.Replica.DifferingBuckets(versions.GetBuckets()))
	}
	if compared.covers {
		s.cover(othersThan(compared.differing))
	}
	return compared, nil
}

// compareAnew is compare on a connection that was opened after a moment. Established ones may
// fall silent for good, without a reset, while new ones work; yamux has no keep-alive here, since
// comparisons take its place.
func (s *Syncer) compareAnew(ctx context.Context, address string, openedAfter time.Time) (comparison, error) {
	s.options.Client.ResetLane(peer.LaneControl, address, openedAfter)
	// What silenced one connection may have silenced the other. A call that is under way may only be slow.
	s.options.Client.ResetUnusedLane(peer.LaneBulk, address, openedAfter)
	return s.compare(ctx, address)
}

// othersThan returns all buckets but the given ones.
func othersThan(buckets []int) []int {
	others := make([]int, 0, replica.BucketCount-len(buckets))
	for i := range replica.BucketCount {
		if !slices.Contains(buckets, i) {
			others = append(others, i)
		}
	}
	return others
}

// cover notes that some buckets have all that a whole copy has. Once all of them do, this
// copy is whole as well.
func (s *Syncer) cover(buckets []int) {
	s.mu.Lock()
	for _, bucket := range buckets {
		s.covered[bucket] = true
	}
	whole := !slices.Contains(s.covered[:], false)
	s.mu.Unlock()
	if whole {
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
		// The next call opens a new connection. Comparisons do so by themselves.
		s.options.Client.ResetLane(lane, address, began)
	}
	return response, err
}
