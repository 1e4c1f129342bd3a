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
	// Client calls them.
	Client *peer.Client
	Logger *slog.Logger
	// Interval is the time between two comparisons. Default 400ms.
	Interval time.Duration
	// CallTimeout bounds the comparison of two digests, by which a node is known to live.
	// Default 300ms.
	CallTimeout time.Duration
	// ExchangeTimeout bounds one exchange of objects. The node has answered the comparison
	// just before, and the largest configuration (1 MiB, that of the store) takes 0.9 s on
	// a link of 10 Mbit/s that nothing else uses. Default 2s.
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
	return &Syncer{
		options: options, news: make(chan struct{}, 1), silent: map[string]silence{},
		started: time.Now(), salt: uuid.NewString(),
	}
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

// Silent notes that a node did not answer a call. It counts as silent until a
// comparison with it succeeds.
func (s *Syncer) Silent(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteSilent(address, err)
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

// syncWith makes the copies of this node and another one alike.
func (s *Syncer) syncWith(ctx context.Context, address string) {
	err := s.compare(ctx, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wasSilent := s.silent[address]
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.noteSilent(address, err)
	case wasSilent:
		delete(s.silent, address)
		s.options.Logger.Info("node back", "address", address)
	}
}

func (s *Syncer) compare(ctx context.Context, address string) error {
	response, err := s.call(ctx, address, s.options.CallTimeout, &peerpb.Request{Body: &peerpb.Request_CompareReplicas{
		CompareReplicas: &peerpb.CompareReplicas{Digest: s.options.Replica.Digest()},
	}})
	if err != nil {
		return errors.Wrap(err, "compare copies")
	}
	compared := response.GetReplicaVersions()
	var differing []int
	if !compared.GetSame() {
		differing = shuffled(s.options.Replica.Differing(compared.GetBuckets()))
	}
	// A copy that is whole stays so: there is nothing to note any more.
	covers := compared.GetWhole() && !s.options.Whole()
	if covers {
		s.cover(othersThan(differing))
	}
	for buckets := range slices.Chunk(differing[:min(len(differing), bucketsPerComparison)], bucketsPerExchange) {
		complete, err := s.exchange(ctx, address, buckets)
		if err != nil {
			return err
		}
		if complete && covers {
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
	response, err := s.call(ctx, address, s.options.ExchangeTimeout, &peerpb.Request{Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: request}})
	if err != nil {
		return false, errors.Wrap(err, "take objects over")
	}
	received := response.GetStoredObjects()
	s.take(received.GetObjects())
	complete = !received.GetTruncated()
	wanted := s.options.Replica.Records(keysOf(received.GetWanted()))
	if len(wanted) == 0 {
		return complete, nil
	}
	brought, _ := storedObjects(wanted)
	_, err = s.call(ctx, address, s.options.ExchangeTimeout, &peerpb.Request{Body: &peerpb.Request_ExchangeObjects{
		ExchangeObjects: &peerpb.ExchangeObjects{Objects: brought},
	}})
	return complete, errors.Wrap(err, "bring objects")
}

// take takes over objects of another node. News are passed on.
func (s *Syncer) take(objects []*peerpb.StoredObject) {
	records, err := recordsOfObjects(objects)
	if err != nil {
		s.options.Logger.Error("objects of another node refused", "error", err.Error())
	}
	if s.options.Replica.Apply(replica.SourcePeer, records...) > 0 {
		s.News()
	}
}

func (s *Syncer) call(ctx context.Context, address string, timeout time.Duration, request *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.options.Client.Call(ctx, address, request)
}
