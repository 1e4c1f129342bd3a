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

// maxPending bounds the objects that wait to be pushed to other nodes. Beyond it replicas are compared instead.
const maxPending = 2048

// pendingUpdates are the objects that changed since the last push round. They are pushed without a comparison:
// while hundreds of backends change, replicas always differ, and each comparison would transfer the digests of
// all of them. The zero value is empty. It is safe for concurrent use.
type pendingUpdates struct {
	mu sync.Mutex
	// fromStore is true for an object that this node received from the store, or created itself.
	fromStore map[replica.Key]bool
	// overflowed is set if some objects were left out.
	overflowed bool
}

// add records an object that changed.
func (p *pendingUpdates) add(key replica.Key, fromStore bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.fromStore) >= maxPending {
		p.overflowed = true
		return
	}
	if p.fromStore == nil {
		p.fromStore = map[replica.Key]bool{}
	}
	p.fromStore[key] = p.fromStore[key] || fromStore
}

// take returns all objects, those from the store, and whether these are all that changed, and resets the set.
func (p *pendingUpdates) take() (all, fromStore []replica.Key, isComplete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, isFromStore := range p.fromStore {
		all = append(all, key)
		if isFromStore {
			fromStore = append(fromStore, key)
		}
	}
	isComplete = !p.overflowed
	p.fromStore, p.overflowed = nil, false
	return all, fromStore, isComplete
}

// Changed records a change of the replica that other nodes are to receive.
func (s *Syncer) Changed(change replica.Change) {
	s.pending.add(change.Record.Key(), change.Source == replica.SourceStore)
	if s.options.Replica.IsUrgent(change.Record) {
		s.ScheduleUrgentSync()
		return
	}
	s.ScheduleSync()
}

// pushUpdates pushes changed objects to some nodes of the zone, and those from the store to relays of other
// zones. If the changed objects are not known, or are too many, replicas are compared instead.
func (s *Syncer) pushUpdates(ctx context.Context) {
	all, fromStore, isComplete := s.pending.take()
	s.notePush()
	if len(all) == 0 || !isComplete {
		s.forEach(s.syncTargets(), func(address string) { s.syncWith(ctx, address) })
		return
	}
	zonePeers, relays := s.pushTargets(s.options.Fanout)
	updates := s.encodeUpdates(all)
	remoteUpdates := updates
	if len(fromStore) < len(all) {
		remoteUpdates = s.encodeUpdates(fromStore)
	}
	for _, address := range zonePeers {
		s.push(address, updates)
	}
	if len(fromStore) == 0 {
		return
	}
	for _, address := range relays {
		s.push(address, remoteUpdates)
	}
}

// syncTargets returns the nodes for updates that may or may not have come from the store. They include the relays
// of other zones if this node is a zone relay.
func (s *Syncer) syncTargets() []string {
	zonePeers, relays := s.pushTargets(s.options.Fanout)
	if !s.options.IsZoneRelay() {
		return zonePeers
	}
	return append(zonePeers, relays...)
}

// notePush records the time of a push.
func (s *Syncer) notePush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushedAt = time.Now()
}

const (
	// updateBurstGap is the time after a push in which more updates are expected to follow.
	updateBurstGap = 400 * time.Millisecond
	// repairInterval is the minimum time between two exchanges during a burst of updates. Exchanges deliver
	// what the pushes missed; each transfers the digests of all objects that changed in the meantime.
	repairInterval = 800 * time.Millisecond
)

// mayRepair reports whether an exchange of differing objects may begin now, and records that it does.
func (s *Syncer) mayRepair() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.pushedAt) < updateBurstGap && now.Sub(s.exchangedAt) < repairInterval {
		return false
	}
	s.exchangedAt = now
	return true
}

// forEach calls a function for some nodes concurrently, and waits for all calls.
func (s *Syncer) forEach(addresses []string, do func(address string)) {
	var round sync.WaitGroup
	for _, address := range addresses {
		round.Go(func() { do(address) })
	}
	round.Wait()
}

// encodedUpdates are objects for other nodes, split into messages.
type encodedUpdates struct {
	plain []*peerpb.ExchangeObjects
	// compressed is for nodes that support it; it is empty if it is not shorter.
	compressed []*peerpb.ExchangeObjects
}

// encodeUpdates encodes objects by their keys.
func (s *Syncer) encodeUpdates(keys []replica.Key) encodedUpdates {
	var updates encodedUpdates
	records := s.options.Replica.Records(keys)
	isShorter := true
	for len(records) > 0 {
		stored, _ := s.storedObjects(records, maxExchangedBytes)
		records = records[len(stored):]
		updates.plain = append(updates.plain, &peerpb.ExchangeObjects{Objects: stored, Address: s.options.Address})
		compressed, shorter := compressObjects(stored)
		isShorter = isShorter && shorter
		updates.compressed = append(updates.compressed, &peerpb.ExchangeObjects{Compressed: compressed, Address: s.options.Address})
	}
	if !isShorter {
		updates.compressed = nil
	}
	return updates
}

// compressObjects compresses objects together, if that makes them shorter.
func compressObjects(objects []*peerpb.StoredObject) (compressed []byte, shorter bool) {
	content, err := proto.Marshal(&peerpb.StoredObjects{Objects: objects})
	if err != nil {
		// Objects that cannot be encoded cannot be sent uncompressed either; the call fails then.
		return nil, false
	}
	return compressAbove(content, minBatchCompressedBytes)
}

// push sends updates to a node in the background: an unresponsive node must not delay the comparisons that
// detect which nodes are responsive. A node that misses updates receives them after a comparison.
func (s *Syncer) push(address string, updates encodedUpdates) {
	messages := updates.plain
	if len(updates.compressed) > 0 && s.nodeSupportsParts(address) {
		messages = updates.compressed
	}
	s.setPushing(address, true)
	s.inBackground(func(ctx context.Context) {
		defer s.setPushing(address, false)
		for _, message := range messages {
			if _, err := s.callExchange(ctx, address, message); err != nil {
				s.logBulkFailure(ctx, "updates not pushed", address, err)
				s.ReportFailure(address, err)
				return
			}
		}
	})
}

// setPushing records whether updates are being pushed to a node.
func (s *Syncer) setPushing(address string, isPushing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isPushing {
		s.pushing[address] = true
		return
	}
	delete(s.pushing, address)
}

// notPushing returns the nodes to which no updates are being pushed: one that has not accepted the previous
// ones is slow or unresponsive.
func (s *Syncer) notPushing(addresses []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(addresses, func(address string) bool { return s.pushing[address] })
}

// nodeSupportsParts reports whether a node has announced that it can compare parts of buckets: older builds
// cannot.
func (s *Syncer) nodeSupportsParts(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.supportsParts[address]
}

// notePartsSupport records whether a node can compare parts of buckets.
func (s *Syncer) notePartsSupport(address string, nodeSupportsParts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.supportsParts[address] == nodeSupportsParts {
		return
	}
	if !nodeSupportsParts {
		delete(s.supportsParts, address)
		return
	}
	s.supportsParts[address] = true
}
