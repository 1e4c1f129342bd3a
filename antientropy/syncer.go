package antientropy

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
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
	defaultFanout          = 2
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
	// Sources returns the addresses of other nodes that this one looks at besides: those that
	// hear first from the store. Default: none.
	Sources func() []string
	// Whole reports whether the copy of this node is whole: it has listed all kinds. Default:
	// it never is.
	Whole func() bool
	// BecameWhole is called once the copy has all that a whole one has, though this node
	// may have listed nothing. It may be called again. Default: nothing.
	BecameWhole func()
	// Address is where other nodes find this one. Without it, nobody fetches chunks here that
	// this node has announced or brought.
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
	// connection. A node that misses it is not taken for lost. Default 2s.
	ExchangeTimeout time.Duration
	// Fanout is to how many nodes news are brought at once. Default 2.
	Fanout int
	// Avoidance is how long a node that did not answer is left alone. Default 2s.
	Avoidance time.Duration
}

// Syncer compares the copy of this node with those of others.
type Syncer struct {
	options Options
	news    chan struct{}
	started time.Time
	// salt makes this node's order of the others its own.
	salt string
	// verifying holds the nodes that are compared with because they did not answer a call.
	verifying singleflight.Group
	// transfers fetches long objects.
	transfers *transfers
	// uploads bounds the chunks that this node sends, in bytes.
	uploads *rate.Limiter
	// exchanges has a place for each exchange under way.
	exchanges chan struct{}
	// background counts what runs beside the comparisons; ctx ends it.
	background sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc

	mu sync.Mutex
	// rounds counts the draws that brought no news.
	rounds int
	// silent holds the nodes that did not answer.
	silent map[string]silence
	// covered marks the buckets that this node has taken over from whole copies.
	covered [replica.BucketCount]bool
}

// silence is a time in which a node has not answered.
type silence struct {
	since time.Time
	// until is when it is asked again.
	until time.Time
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
	if options.Avoidance == 0 {
		options.Avoidance = defaultAvoidance
	}
	if options.Whole == nil {
		options.Whole = func() bool { return false }
	}
	if options.BecameWhole == nil {
		options.BecameWhole = func() {}
	}
	if options.Sources == nil {
		options.Sources = func() []string { return nil }
	}
	if options.Refetch == nil {
		options.Refetch = func(context.Context, replica.Key) {}
	}
	s := &Syncer{
		options: options, news: make(chan struct{}, 1), silent: map[string]silence{},
		started: time.Now(), salt: uuid.NewString(),
		uploads: newUploadLimiter(options.LinkBytes), exchanges: make(chan struct{}, maxExchanges),
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

// News has the copy compared at once. It never blocks.
func (s *Syncer) News() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// Run compares until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	defer s.Close()
	ticker := time.NewTicker(s.options.Interval)
	defer ticker.Stop()
	for {
		count, isNews := 1, false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.news:
			count, isNews = s.options.Fanout, true
		}
		var round sync.WaitGroup
		for _, address := range s.draw(count, isNews) {
			round.Go(func() { s.syncWith(ctx, address) })
		}
		round.Wait()
	}
}

// Responsive reports whether a node answered when it was last called.
func (s *Syncer) Responsive(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, silent := s.silent[address]
	return !silent
}

// SilentFor returns how long a node has not answered; zero if it does.
func (s *Syncer) SilentFor(address string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, silent := s.silent[address]
	if !silent {
		return 0
	}
	return time.Since(current.since)
}

// Silent notes that a node did not answer a call. It counts as silent until a comparison with it
// succeeds; where a connection to it could be opened, one is made first.
func (s *Syncer) Silent(address string, err error) {
	if errors.Is(err, peer.ErrNotSent) {
		s.noteContact(address, err)
		return
	}
	now := time.Now()
	s.inBackground(func(ctx context.Context) { s.verify(ctx, address, now) })
}

// verify compares the copy with that of a node that did not answer a call, once for all who ask
// at the same time.
func (s *Syncer) verify(ctx context.Context, address string, failedAt time.Time) {
	_, _, _ = s.verifying.Do(address, func() (any, error) {
		_, err := s.compareAnew(ctx, address, failedAt)
		if ctx.Err() == nil {
			s.noteContact(address, err)
		}
		return nil, nil
	})
}

// noteSilent leaves a node alone for a while; the lock is held.
func (s *Syncer) noteSilent(address string, err error) {
	now := time.Now()
	current, known := s.silent[address]
	if !known {
		current.since = now
		s.options.Logger.Warn("node lost", "address", address, "error", err.Error())
	}
	current.until = now.Add(s.options.Avoidance)
	s.silent[address] = current
	s.options.Client.Reset(address)
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
	if err != nil || len(compared.differing) == 0 {
		return
	}
	select {
	case s.exchanges <- struct{}{}:
	default:
		// The next comparison goes on.
		return
	}
	s.inBackground(func(ctx context.Context) {
		defer func() { <-s.exchanges }()
		if err := s.exchangeAll(ctx, address, compared); err != nil {
			s.bulkFailed(ctx, "exchange failed", address, err)
		}
	})
}

// bulkFailed logs a call with long contents that failed. The other node may live all the same:
// that is for comparisons to tell.
func (s *Syncer) bulkFailed(ctx context.Context, what, address string, err error) {
	if ctx.Err() == nil {
		s.options.Logger.Warn(what, "address", address, "error", err.Error())
	}
}

// noteContact notes whether a node has answered a comparison.
func (s *Syncer) noteContact(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wasSilent := s.silent[address]
	switch {
	case err != nil:
		s.noteSilent(address, err)
	case wasSilent:
		delete(s.silent, address)
		s.options.Logger.Info("node back", "address", address)
	}
}

// comparison is what a node knows of another one's copy.
type comparison struct {
	// differing are the buckets that differ, in the order in which they are exchanged.
	differing []int
	// covers is set where the other copy is whole and this one is not known to be.
	covers bool
}

// compare asks another node whether its copy differs. It is a short call, by which nodes know
// that others live.
func (s *Syncer) compare(ctx context.Context, address string) (comparison, error) {
	response, err := s.call(ctx, peer.LaneControl, address, s.options.CallTimeout, &peerpb.Request{Body: &peerpb.Request_CompareReplicas{
		CompareReplicas: &peerpb.CompareReplicas{Digest: s.options.Replica.Digest()},
	}})
	if err != nil {
		return comparison{}, errors.Wrap(err, "compare copies")
	}
	versions := response.GetReplicaVersions()
	// A copy that is whole stays so: there is nothing to note any more.
	compared := comparison{covers: versions.GetWhole() && !s.options.Whole()}
	if !versions.GetSame() {
		compared.differing = shuffled(s.options.Replica.Differing(versions.GetBuckets()))
	}
	if compared.covers {
		s.cover(othersThan(compared.differing))
	}
	return compared, nil
}

// compareAnew is compare on a connection that was opened after a moment. Established ones may fall silent for good, without
// a reset, while new ones work; yamux has no keep-alive here, since comparisons take its place.
func (s *Syncer) compareAnew(ctx context.Context, address string, openedAfter time.Time) (comparison, error) {
	s.options.Client.ResetLane(peer.LaneControl, address, openedAfter)
	return s.compare(ctx, address)
}

// exchangeAll makes the buckets that differ alike, as far as one comparison goes.
func (s *Syncer) exchangeAll(ctx context.Context, address string, compared comparison) error {
	differing := compared.differing[:min(len(compared.differing), bucketsPerComparison)]
	for buckets := range slices.Chunk(differing, bucketsPerExchange) {
		complete, err := s.exchange(ctx, address, buckets)
		if err != nil {
			return err
		}
		if complete && compared.covers {
			s.cover(buckets)
		}
	}
	return nil
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
		s.options.BecameWhole()
	}
}

const (
	// bucketsPerExchange bounds the buckets of one call, so that it ends in time over a
	// slow link too.
	bucketsPerExchange = 4
	// bucketsPerComparison bounds the buckets of one comparison, so that news do not
	// wait for the rest of a large difference. The rest comes with the next comparisons.
	bucketsPerComparison = 12
)

// shuffled returns buckets in the order in which they are exchanged: the urgent one,
// and then the others by chance, so that a node far behind gets different ones from
// different nodes.
func shuffled(buckets []int) []int {
	rand.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
	if i := slices.Index(buckets, replica.UrgentBucket); i > 0 {
		buckets[0], buckets[i] = buckets[i], buckets[0]
	}
	return buckets
}

// exchange takes over what another node has newer in some buckets, and brings it what it
// lacks. It reports whether nothing newer is left there.
func (s *Syncer) exchange(ctx context.Context, address string, buckets []int) (complete bool, err error) {
	request := &peerpb.ExchangeObjects{Versions: objectVersions(s.options.Replica.Versions(buckets))}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, uint32(bucket))
	}
	received, err := s.callExchange(ctx, address, request)
	if err != nil {
		return false, errors.Wrap(err, "take objects over")
	}
	offered := s.take(received.GetObjects(), address)
	complete = !received.GetTruncated() && offered == 0
	wanted := s.options.Replica.Records(keysOf(received.GetWanted()))
	if len(wanted) == 0 {
		return complete, nil
	}
	brought, _ := s.storedObjects(wanted)
	_, err = s.callExchange(ctx, address, &peerpb.ExchangeObjects{Objects: brought, Address: s.options.Address})
	return complete, errors.Wrap(err, "bring objects")
}

func (s *Syncer) callExchange(ctx context.Context, address string, request *peerpb.ExchangeObjects) (*peerpb.StoredObjects, error) {
	response, err := s.call(ctx, peer.LaneBulk, address, s.options.ExchangeTimeout, &peerpb.Request{
		Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: request},
	})
	return response.GetStoredObjects(), err
}

// take takes over objects of another node, and begins to fetch the long ones. It returns how
// many of these it was offered. News are passed on.
func (s *Syncer) take(objects []*peerpb.StoredObject, address string) (offered int) {
	records, longObjects, err := recordsOfObjects(objects)
	if err != nil {
		s.options.Logger.Error("objects of another node refused", "error", err.Error())
	}
	s.apply(records...)
	for _, long := range longObjects {
		s.transfers.offer(long.record, long.manifest, address)
	}
	return len(longObjects)
}

// apply takes over records of other nodes and passes news on.
func (s *Syncer) apply(records ...replica.Record) {
	if s.options.Replica.Apply(replica.SourcePeer, records...) > 0 {
		s.News()
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
