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

// beginExchange reports whether an exchange of objects with a node may start now, and registers it; endExchange
// ends it.
func (s *Syncer) beginExchange(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, inProgress := s.exchanging[address]; inProgress {
		current.differedAgain = true
		s.exchanging[address] = current
		return false
	}
	if len(s.exchanging) >= maxExchanges {
		return false
	}
	s.exchanging[address] = ongoingExchange{began: time.Now()}
	return true
}

// endExchange ends an exchange. If a comparison has found a difference during the exchange, a new round is
// scheduled at once.
func (s *Syncer) endExchange(address string) {
	s.mu.Lock()
	differedAgain := s.exchanging[address].differedAgain
	delete(s.exchanging, address)
	s.mu.Unlock()
	if differedAgain {
		s.ScheduleSync()
	}
}

// logBulkFailure logs a failed call on the bulk lane. The other node may still be responsive: comparisons
// decide that.
func (s *Syncer) logBulkFailure(ctx context.Context, message, address string, err error) {
	if ctx.Err() == nil {
		s.options.Logger.Warn(message, "address", address, "error", err.Error())
	}
}

// exchangeAll reconciles the buckets that differ. If the other node cannot compare parts, only a few buckets are
// exchanged after one comparison. If the other replica is complete and this one is not, all are exchanged,
// because a starting node would otherwise need one comparison for each message that the fleet's objects fill.
func (s *Syncer) exchangeAll(ctx context.Context, address string, compared comparison) error {
	differing, batchSize := compared.differing, bucketsPerExchange
	switch {
	case compared.supportsParts:
		batchSize = bucketsPerPartExchange
	case !compared.otherComplete:
		differing = differing[:min(len(differing), bucketsPerComparison)]
	}
	for buckets := range slices.Chunk(differing, batchSize) {
		if err := s.exchangeBuckets(ctx, address, compared, buckets); err != nil {
			return err
		}
	}
	return nil
}

// exchangeBuckets reconciles a few buckets. If the objects of a bucket do not fit into one message and the
// other replica is complete, it continues until all are received.
func (s *Syncer) exchangeBuckets(ctx context.Context, address string, compared comparison, buckets []int) error {
	sections := replica.WholeBuckets(buckets)
	if compared.supportsParts && len(s.options.Replica.Versions(sections)) >= len(buckets)*minObjectsForParts {
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
		if !compared.otherComplete || result.applied == 0 {
			break
		}
	}
	if result.complete() && compared.otherComplete {
		s.markComplete(buckets)
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
	// minObjectsForParts is the average number of objects per bucket from which the digests of its parts are
	// shorter than the versions of all its objects.
	minObjectsForParts = 6
	// bucketsPerExchange bounds the buckets of one call, so that it completes within its timeout on a slow link
	// too.
	bucketsPerExchange = 4
	// bucketsPerPartExchange is the same where only parts that differ are exchanged.
	bucketsPerPartExchange = 16
	// bucketsPerComparison bounds the buckets that are exchanged after one comparison, so that new updates do
	// not wait for the rest of a large difference. Later comparisons handle the rest.
	bucketsPerComparison = 12
)

// shuffled returns buckets in the order in which they are exchanged: the urgent one first, and then the others
// at random, so that a node far behind gets different ones from different nodes.
func shuffled(buckets []int) []int {
	rand.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
	if i := slices.Index(buckets, replica.UrgentBucket); i > 0 {
		buckets[0], buckets[i] = buckets[i], buckets[0]
	}
	return buckets
}

// exchangeResult describes the progress of one exchange.
type exchangeResult struct {
	// truncated is set if the response did not hold all objects that are newer at the other node.
	truncated bool
	// offered is the number of chunked objects that were offered by their chunk IDs and are being fetched.
	offered int
	// applied is the number of received objects that were newer.
	applied int
}

// complete reports whether the other node has nothing newer left.
func (r exchangeResult) complete() bool { return !r.truncated && r.offered == 0 }

// exchange applies the objects of some sections that are newer at another node, and sends it those that are
// newer here.
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
	result.applied, result.offered = s.applyReceived(objects, address)
	requested := s.options.Replica.Records(keysOf(received.GetWanted()))
	if len(requested) == 0 {
		return result, nil
	}
	sent, _ := s.storedObjects(requested, maxExchangedBytes)
	_, err = s.callExchange(ctx, address, &peerpb.ExchangeObjects{Objects: sent, Address: s.options.Address})
	return result, errors.Wrap(err, "send objects")
}

func (s *Syncer) callExchange(ctx context.Context, address string, request *peerpb.ExchangeObjects) (*peerpb.StoredObjects, error) {
	response, err := s.call(ctx, peer.LaneBulk, address, s.options.ExchangeTimeout, &peerpb.Request{
		Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: request},
	})
	return response.GetStoredObjects(), err
}

// applyReceived applies objects of another node, and starts fetching the chunked ones. It returns how many were
// newer, and how many were offered for fetching.
func (s *Syncer) applyReceived(objects []*peerpb.StoredObject, address string) (applied, offered int) {
	records, chunkedObjects, err := recordsOfObjects(objects)
	if err != nil {
		s.options.Logger.Error("rejected objects of another node", "error", err.Error())
	}
	applied = s.apply(records...)
	for _, chunked := range chunkedObjects {
		s.transfers.offer(chunked.record, chunked.manifest, address)
	}
	return applied, len(chunkedObjects)
}

// apply applies records of other nodes. It returns how many were newer.
func (s *Syncer) apply(records ...replica.Record) int {
	return s.options.Replica.Apply(replica.SourcePeer, records...)
}
