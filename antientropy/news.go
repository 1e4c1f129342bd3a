package antientropy

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/replica"
)

// maxFresh bounds the objects that wait to be brought to other nodes. Beyond it copies are compared.
const maxFresh = 2048

// freshObjects are the objects that changed since the last round with news. They are brought to other nodes
// as they are: while back ends change by the hundred, copies always differ, and each comparison would cost the
// digests of all of them. The zero value has none. It is safe for concurrent use.
type freshObjects struct {
	mu sync.Mutex
	// fromStore tells of each whether this node has it from the store, or made it known itself.
	fromStore map[replica.Key]bool
	// tooMany is set where some were left out.
	tooMany bool
}

// add notes an object that changed.
func (f *freshObjects) add(key replica.Key, fromStore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.fromStore) >= maxFresh {
		f.tooMany = true
		return
	}
	if f.fromStore == nil {
		f.fromStore = map[replica.Key]bool{}
	}
	f.fromStore[key] = f.fromStore[key] || fromStore
}

// take returns all objects, those from the store, and whether these are all that changed, and begins anew.
func (f *freshObjects) take() (all, fromStore []replica.Key, areAll bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, isFromStore := range f.fromStore {
		all = append(all, key)
		if isFromStore {
			fromStore = append(fromStore, key)
		}
	}
	areAll = !f.tooMany
	f.fromStore, f.tooMany = nil, false
	return all, fromStore, areAll
}

// Changed notes a change of the copy that other nodes are to have.
func (s *Syncer) Changed(change replica.Change) {
	s.fresh.add(change.Record.Key(), change.Source == replica.SourceStore)
	if s.options.Replica.IsUrgent(change.Record) {
		s.ScheduleUrgentSync()
		return
	}
	s.ScheduleSync()
}

// spreadNews brings what changed to some nodes of the zone, and what came from the store to the relays of other
// zones. Where nobody told what changed, or too much did, copies are compared instead.
func (s *Syncer) spreadNews(ctx context.Context) {
	all, fromStore, areAll := s.fresh.take()
	s.noteSpread()
	if len(all) == 0 || !areAll {
		s.forEach(s.newsOrBridged(), func(address string) { s.syncWith(ctx, address) })
		return
	}
	near, relays := s.newsTargets(s.options.Fanout)
	news := s.encodeNews(all)
	farNews := news
	if len(fromStore) < len(all) {
		farNews = s.encodeNews(fromStore)
	}
	for _, address := range near {
		s.bring(address, news)
	}
	if len(fromStore) == 0 {
		return
	}
	for _, address := range relays {
		s.bring(address, farNews)
	}
}

// newsOrBridged returns the nodes for news of which it is not known whether they came from the store: the
// relays of other zones are among them where this node is a bridge.
func (s *Syncer) newsOrBridged() []string {
	near, relays := s.newsTargets(s.options.Fanout)
	if !s.options.IsZoneRelay() {
		return near
	}
	return append(near, relays...)
}

// noteSpread notes that news were spread.
func (s *Syncer) noteSpread() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spreadAt = time.Now()
}

const (
	// newsFlow is how long after news others are expected to follow.
	newsFlow = 400 * time.Millisecond
	// repairInterval is the least time between two exchanges while news flow. They bring what the news did not
	// reach; each costs the digests of all objects that changed meanwhile.
	repairInterval = 800 * time.Millisecond
)

// mayRepair reports whether an exchange of what differs may begin now, and notes that it does.
func (s *Syncer) mayRepair() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.spreadAt) < newsFlow && now.Sub(s.exchangedAt) < repairInterval {
		return false
	}
	s.exchangedAt = now
	return true
}

// forEach does something for some nodes at once, and waits for all.
func (s *Syncer) forEach(addresses []string, do func(address string)) {
	var round sync.WaitGroup
	for _, address := range addresses {
		round.Go(func() { do(address) })
	}
	round.Wait()
}

// encodedNews are objects for other nodes, as messages that each hold a part of them.
type encodedNews struct {
	plain []*peerpb.ExchangeObjects
	// compressed is for nodes that read it; it is empty where it is not shorter.
	compressed []*peerpb.ExchangeObjects
}

// encodeNews encodes objects by their keys.
func (s *Syncer) encodeNews(keys []replica.Key) encodedNews {
	var news encodedNews
	records := s.options.Replica.Records(keys)
	isShorter := true
	for len(records) > 0 {
		stored, _ := s.storedObjects(records, maxExchangedBytes)
		records = records[len(stored):]
		news.plain = append(news.plain, &peerpb.ExchangeObjects{Objects: stored, Address: s.options.Address})
		compressed, shorter := compressObjects(stored)
		isShorter = isShorter && shorter
		news.compressed = append(news.compressed, &peerpb.ExchangeObjects{Compressed: compressed, Address: s.options.Address})
	}
	if !isShorter {
		news.compressed = nil
	}
	return news
}

// compressObjects compresses objects together, if that makes them shorter.
func compressObjects(objects []*peerpb.StoredObject) (compressed []byte, shorter bool) {
	content, err := proto.Marshal(&peerpb.StoredObjects{Objects: objects})
	if err != nil {
		// Objects that cannot be encoded cannot be sent without compression either; the call fails then.
		return nil, false
	}
	return compressFrom(content, compressedTogetherFrom)
}

// bring sends news to a node, beside all else: a node that does not answer must not hold up the comparisons
// by which this one knows others. One that misses news has them by a comparison.
func (s *Syncer) bring(address string, news encodedNews) {
	messages := news.plain
	if len(news.compressed) > 0 && s.comparesParts(address) {
		messages = news.compressed
	}
	s.setBringing(address, true)
	s.inBackground(func(ctx context.Context) {
		defer s.setBringing(address, false)
		for _, message := range messages {
			if _, err := s.callExchange(ctx, address, message); err != nil {
				s.bulkFailed(ctx, "news not brought", address, err)
				s.ReportFailure(address, err)
				return
			}
		}
	})
}

// setBringing notes whether news are being brought to a node.
func (s *Syncer) setBringing(address string, isBringing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isBringing {
		s.bringing[address] = true
		return
	}
	delete(s.bringing, address)
}

// notBringing returns the nodes to which no news are being brought: one that has not taken the earlier ones is
// slow, or does not answer.
func (s *Syncer) notBringing(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(addresses, func(address string) bool { return s.bringing[address] })
}

// comparesParts reports whether a node has said that it compares parts of buckets: older builds do not.
func (s *Syncer) comparesParts(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPart[address]
}

// noteBuild notes whether a node compares parts of buckets.
func (s *Syncer) noteBuild(address string, comparesParts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPart[address] == comparesParts {
		return
	}
	if !comparesParts {
		delete(s.byPart, address)
		return
	}
	s.byPart[address] = true
}
