package antientropy

import (
	"context"
	"math/rand/v2"
	"slices"

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
	if _, underWay := s.exchanging[address]; underWay {
		s.exchanging[address] = true
		return false
	}
	if len(s.exchanging) >= maxExchanges {
		return false
	}
	s.exchanging[address] = false
	return true
}

// endExchange ends an exchange. What changed while it was under way is passed on at once.
func (s *Syncer) endExchange(address string) {
	s.mu.Lock()
	missed := s.exchanging[address]
	delete(s.exchanging, address)
	s.mu.Unlock()
	if missed {
		s.News()
	}
}

// bulkFailed logs a call with long contents that failed. The other node may live all the same:
// comparisons decide that.
func (s *Syncer) bulkFailed(ctx context.Context, what, address string, err error) {
	if ctx.Err() == nil {
		s.options.Logger.Warn(what, "address", address, "error", err.Error())
	}
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

// exchange takes over what another node has newer in some buckets, and sends it what it
// lacks. It reports whether nothing newer is left there.
func (s *Syncer) exchange(ctx context.Context, address string, buckets []int) (complete bool, err error) {
	request := &peerpb.ExchangeObjects{Versions: objectVersions(s.options.Replica.Versions(buckets))}
	for _, bucket := range buckets {
		request.Buckets = append(request.Buckets, uint32(bucket))
	}
	received, err := s.callExchange(ctx, address, request)
	if err != nil {
		return false, errors.Wrap(err, "receive objects")
	}
	offered := s.take(received.GetObjects(), address)
	complete = !received.GetTruncated() && offered == 0
	wanted := s.options.Replica.Records(keysOf(received.GetWanted()))
	if len(wanted) == 0 {
		return complete, nil
	}
	sent, _ := s.storedObjects(wanted)
	_, err = s.callExchange(ctx, address, &peerpb.ExchangeObjects{Objects: sent, Address: s.options.Address})
	return complete, errors.Wrap(err, "send objects")
}

func (s *Syncer) callExchange(ctx context.Context, address string, request *peerpb.ExchangeObjects) (*peerpb.StoredObjects, error) {
	response, err := s.call(ctx, peer.LaneBulk, address, s.options.ExchangeTimeout, &peerpb.Request{
		Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: request},
	})
	return response.GetStoredObjects(), err
}

// take applies objects of another node, and begins to fetch the long ones. It returns how
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

// apply applies records of other nodes and passes news on.
func (s *Syncer) apply(records ...replica.Record) {
	if s.options.Replica.Apply(replica.SourcePeer, records...) > 0 {
		s.News()
	}
}
