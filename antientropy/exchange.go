package antientropy

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// beginExchange reports whether objects may be exchanged with a node now. If so, endExchange ends
// that.
func (s *Syncer) beginExchange(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, underWay := s.exchanging[address]; underWay {
		current.missed = true
		s.exchanging[address] = current
		return false
	}
	if len(s.exchanging) >= maxExchanges {
		return false
	}
	s.exchanging[address] = ongoingExchange{began: time.Now()}
	return true
}

// endExchange ends an exchange. What changed while it was under way is passed on at once.
func (s *Syncer) endExchange(address string) {
	s.mu.Lock()
	missed := s.exchanging[address].missed
	delete(s.exchanging, address)
	s.mu.Unlock()
	if missed {
		s.ScheduleSync()
	}
}

// bulkFailed logs a call with long contents that failed. The other node may live all the same:
// comparisons decide that.
func (s *Syncer) bulkFailed(ctx context.Context, what, address string, err error) {
	if ctx.Err() == nil {
		s.options.Logger.Warn(what, "address", address, "error", err.Error())
	}
}

// exchangeAll makes the buckets that differ alike. Where they are compared whole, a comparison goes on
// with a few of them only, unless this copy is not whole and the other one is: a node that starts would
// need as many comparisons as the fleet's objects fill messages.
func (s *Syncer) exchangeAll(ctx context.Context, address string, compared comparison) error {
	differing, together := compared.differing, bucketsPerExchange
	switch {
	case compared.byPart:
		together = bucketsByPart
	case !compared.covers:
		differing = differing[:min(len(differing), bucketsPerComparison)]
	}
	for buckets := range slices.Chunk(differing, together) {
		if err := s.exchangeBuckets(ctx, address, compared, buckets); err != nil {
			return err
		}
	}
	return nil
}

// exchangeBuckets makes a few buckets alike. It goes on with one whose objects do not fit into one
// message where the other copy is whole.
func (s *Syncer) exchangeBuckets(ctx context.Context, address string, compared comparison, buckets []int) error {
	sections := replica.WholeBuckets(buckets)
	if compared.byPart && len(s.options.Replica.Versions(sections)) >= len(buckets)*worthParts {
		differing, err := s.compareParts(ctx, address, buckets)
		if err != nil {
			return errors.Wrap(err, "compare parts")
		}
		sections = differing
	}
	result := exchangeResult{truncated: true}
	for result.truncated {
		var err error
		result, err = s.exchange(ctx, address, sections)
		if err != nil {
			return err
		}
		if !compared.covers || result.taken == 0 {
			break
		}
	}
	if result.complete() && compared.covers {
		s.cover(buckets)
	}
	return nil
}

// compareParts asks another node which parts of some buckets differ.
func (s *Syncer) compareParts(ctx context.Context, address string, buckets []int) ([]replica.Section, error) {
	request := &peerpb.CompareParts{}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, &peerpb.BucketParts{
			Bucket: uint32(bucket), Digests: s.options.Replica.PartDigests(bucket),
		})
	}
	response, err := s.call(ctx, peer.LaneBulk, address, s.options.ExchangeTimeout, &peerpb.Request{
		Body: &peerpb.Request_CompareParts{CompareParts: request},
	})
	if err != nil {
		return nil, err
	}
	var sections []replica.Section
	for _, differing := range response.GetDifferingParts().GetBuckets() {
		sections = append(sections, replica.Section{Bucket: int(differing.GetBucket()), Parts: replica.PartSet(differing.GetParts())})
	}
	return sections, nil
}

const (
	// worthParts is from how many objects a bucket on the digests of its parts are shorter than the versions
	// of all.
	worthParts = 6
	// bucketsPerExchange bounds the buckets of one call, so that it ends in time over a
	// slow link too.
	bucketsPerExchange = 4
	// bucketsByPart is the same where only parts that differ are exchanged.
	bucketsByPart = 16
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

// exchangeResult is how far one exchange has come.
type exchangeResult struct {
	// truncated is set where not all that is newer at the other node fitted into its answer.
	truncated bool
	// offered is how many long objects are only named, and fetched now.
	offered int
	// taken is how many objects of the other node were newer.
	taken int
}

// complete reports whether nothing newer is left at the other node.
func (r exchangeResult) complete() bool { return !r.truncated && r.offered == 0 }

// exchange takes over what another node has newer in some sections, and sends it what it lacks.
func (s *Syncer) exchange(ctx context.Context, address string, sections []replica.Section) (exchangeResult, error) {
	request := &peerpb.ExchangeObjects{
		Versions: objectVersions(s.options.Replica.Versions(sections)), ReadsCompressed: true,
	}
	for _, section := range sections {
		request.Buckets = append(request.Buckets, uint32(section.Bucket))
		request.Parts = append(request.Parts, uint32(section.Parts))
	}
	received, err := s.callExchange(ctx, address, request)
	if err != nil {
		return exchangeResult{}, errors.Wrap(err, "receive objects")
	}
	objects, err := objectsOf(received.GetObjects(), received.GetCompressed())
	if err != nil {
		return exchangeResult{}, errors.Wrap(err, "receive objects")
	}
	result := exchangeResult{truncated: received.GetTruncated()}
	result.taken, result.offered = s.take(objects, address)
	wanted := s.options.Replica.Records(keysOf(received.GetWanted()))
	if len(wanted) == 0 {
		return result, nil
	}
	sent, _ := s.storedObjects(wanted, maxExchangedBytes)
	_, err = s.callExchange(ctx, address, &peerpb.ExchangeObjects{Objects: sent, Address: s.options.Address})
	return result, errors.Wrap(err, "send objects")
}

func (s *Syncer) callExchange(ctx context.Context, address string, request *peerpb.ExchangeObjects) (*peerpb.StoredObjects, error) {
	response, err := s.call(ctx, peer.LaneBulk, address, s.options.ExchangeTimeout, &peerpb.Request{
		Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: request},
	})
	return response.GetStoredObjects(), err
}

// take applies objects of another node, and begins to fetch the long ones. It returns how many were
// newer, and how many it was offered to fetch.
func (s *Syncer) take(objects []*peerpb.StoredObject, address string) (taken, offered int) {
	records, longObjects, err := recordsOfObjects(objects)
	if err != nil {
		s.options.Logger.Error("objects of another node refused", "error", err.Error())
	}
	taken = s.apply(records...)
	for _, long := range longObjects {
		s.transfers.offer(long.record, long.manifest, address)
	}
	return taken, len(longObjects)
}

// apply applies records of other nodes. It returns how many were newer.
func (s *Syncer) apply(records ...replica.Record) int {
	return s.options.Replica.Apply(replica.SourcePeer, records...)
}
