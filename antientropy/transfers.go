package antientropy

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/chunk"
	"github.com/reelrun/reelrun/peer"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/replica"
)

const (
	// chunksTimeout bounds one call for chunks. The chunks of a call take 26 ms on the slowest supported link,
	// and so 0.8 s where thirty calls share it.
	chunksTimeout = time.Second
	// sourceRetryDelay is how long no chunks are requested from a node that had none to send: about the time in
	// which it receives one more chunk.
	sourceRetryDelay = 40 * time.Millisecond
	// behindAfter is how long fetching a version may take before the node logs that it is behind. A
	// configuration has to be active 2 to 4 s after its acknowledgement.
	behindAfter = 2 * time.Second
	// stuckAfter is how long no chunk may arrive before the object is read from the store.
	stuckAfter = 2 * time.Second
	// maxObjectBytes bounds an object that is fetched. The platform's store accepts 4 MiB.
	maxObjectBytes = 16 << 20
)

// transfers fetches chunked objects from other nodes. It is safe for concurrent use.
type transfers struct {
	syncer *Syncer
	index  *chunkIndex

	mu    sync.Mutex
	byKey map[replica.Key]*transfer
}

func newTransfers(syncer *Syncer) *transfers {
	return &transfers{syncer: syncer, index: newChunkIndex(), byKey: map[replica.Key]*transfer{}}
}

// offer records that another node has a version of an object, or some of its chunks, and starts to fetch that
// version unless this node has it.
func (ts *transfers) offer(record replica.Record, manifest chunk.Manifest, address string) {
	if ts.has(record) {
		return
	}
	ts.indexLocal(record.Key())
	ts.mu.Lock()
	defer ts.mu.Unlock()
	current := ts.byKey[record.Key()]
	switch {
	case current == nil || current.record.Object.Version < record.Object.Version:
		replaced := current
		current = newTransfer(record, manifest, func(id chunk.ID) ([]byte, bool) { return ts.findWith(replaced, id) })
		ts.byKey[record.Key()] = current
	case current.record.Object.Version > record.Object.Version:
		return
	}
	current.addSource(address)
	if !current.running {
		current.running = true
		ts.syncer.inBackground(func(ctx context.Context) { ts.run(ctx, current) })
	}
}

// has reports whether this node has a version of an object, or a newer one.
func (ts *transfers) has(record replica.Record) bool {
	local := ts.syncer.options.Replica.Records([]replica.Key{record.Key()})
	return len(local) > 0 && local[0].Object.Version >= record.Object.Version
}

// indexLocal indexes the chunks of this node's version of an object, so that chunks which it shares with
// another version are not fetched.
func (ts *transfers) indexLocal(key replica.Key) {
	for _, local := range ts.syncer.options.Replica.Records([]replica.Key{key}) {
		if len(local.Object.Spec) >= minChunkedBytes {
			ts.index.manifest(local)
		}
	}
}

// findWith returns a chunk that this node has or that another transfer has fetched; the caller holds the lock.
func (ts *transfers) findWith(other *transfer, id chunk.ID) ([]byte, bool) {
	if other != nil {
		if content, found := other.have[id]; found {
			return content, true
		}
	}
	return ts.index.find(id)
}

// find returns a chunk that this node can send to others.
func (ts *transfers) find(id chunk.ID) ([]byte, bool) {
	if content, found := ts.index.find(id); found {
		return content, true
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, current := range ts.byKey {
		if content, found := current.have[id]; found {
			return content, true
		}
	}
	return nil, false
}

// run fetches chunks until the object is complete, a newer version replaces it, or no source is left. In the last
// case the next offer resumes the transfer.
func (ts *transfers) run(ctx context.Context, t *transfer) {
	ts.announce(t)
	for ctx.Err() == nil {
		next := ts.next(t)
		switch {
		case ts.has(t.record):
			// The object, or a newer version of it, has arrived in another way, such as from the store.
			ts.forget(t)
			return
		case next.complete:
			ts.finish(t)
			return
		case next.stop:
			return
		case next.wait > 0:
			_ = periodic.Pause(ctx, next.wait) // The loop checks the context.
		default:
			ts.fetch(ctx, t, next.source, next.batch)
		}
		ts.watchProgress(t)
	}
}

// step is the next action of a transfer.
type step struct {
	complete bool
	// stop is set where the transfer is replaced, or has no source left.
	stop   bool
	wait   time.Duration
	source string
	batch  []chunk.Reference
}

func (ts *transfers) next(t *transfer) step {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.byKey[t.record.Key()] != t {
		return step{stop: true}
	}
	if len(t.missing) == 0 {
		return step{complete: true}
	}
	picked, wait, found := t.pick(time.Now())
	if !found {
		t.running = false
		return step{stop: true}
	}
	if picked == nil {
		return step{wait: wait}
	}
	return step{source: picked.address, batch: t.batch()}
}

// fetch requests some chunks from a node.
func (ts *transfers) fetch(ctx context.Context, t *transfer, address string, batch []chunk.Reference) {
	request := &peerpb.FetchChunks{}
	for _, reference := range batch {
		request.Digests = append(request.Digests, reference.ID[:])
	}
	response, err := ts.syncer.call(ctx, peer.LaneBulk, address, chunksTimeout, &peerpb.Request{Body: &peerpb.Request_FetchChunks{FetchChunks: request}})
	if err != nil {
		ts.syncer.logBulkFailure(ctx, "chunks not fetched", address, err)
		ts.removeSource(t, address)
		return
	}
	contents := contentsOf(response.GetChunkContents())
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if t.addChunks(contents) > 0 {
		t.progressedAt = time.Now()
		return
	}
	if !response.GetChunkContents().GetBusy() {
		t.rotate(len(batch))
	}
	t.pauseSource(address, time.Now().Add(sourceRetryDelay))
}

func (ts *transfers) removeSource(t *transfer, address string) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	t.removeSource(address)
}

// finish applies the complete object.
func (ts *transfers) finish(t *transfer) {
	content, err := t.manifest.Join(t.have)
	if err != nil {
		ts.syncer.options.Logger.Error("cannot assemble object from its chunks", "kind", string(t.record.Object.Kind), "name", t.record.Object.Name, "error", err.Error())
		ts.forget(t)
		return
	}
	record := t.record
	record.Object.Spec = content
	ts.index.add(record, t.manifest)
	ts.forget(t)
	ts.syncer.apply(record)
}

// forget removes a transfer.
func (ts *transfers) forget(t *transfer) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if ts.byKey[t.record.Key()] == t {
		delete(ts.byKey, t.record.Key())
	}
	if t.reportedBehind {
		ts.syncer.options.Logger.Info("caught up", t.logFields()...)
	}
}

// watchProgress logs when this node is behind, and reads the object from the store when no chunks arrive any
// more.
func (ts *transfers) watchProgress(t *transfer) {
	ts.mu.Lock()
	now := time.Now()
	if !t.reportedBehind && now.Sub(t.began) > behindAfter {
		t.reportedBehind = true
		ts.syncer.options.Logger.Warn("behind", t.logFields()...)
	}
	stuck := now.Sub(t.progressedAt) > stuckAfter
	if stuck {
		// The next read from the store follows after stuckAfter.
		t.progressedAt = now
	}
	ts.mu.Unlock()
	if stuck {
		ts.syncer.inBackground(func(ctx context.Context) { ts.syncer.options.Refetch(ctx, t.record.Key()) })
	}
}

// announce notifies a few nodes that this one will soon have chunks of an object, so that they start fetching
// before this node has all of it.
func (ts *transfers) announce(t *transfer) {
	announced := &peerpb.ExchangeObjects{
		Objects: []*peerpb.StoredObject{manifestObject(t.record, t.manifest)}, Address: ts.syncer.options.Address,
	}
	if announced.GetAddress() == "" {
		return
	}
	for _, address := range ts.syncer.syncTargets() {
		ts.syncer.inBackground(func(ctx context.Context) {
			request := &peerpb.Request{Body: &peerpb.Request_ExchangeObjects{ExchangeObjects: announced}}
			if _, err := ts.syncer.call(ctx, peer.LaneBulk, address, chunksTimeout, request); err != nil {
				ts.syncer.logBulkFailure(ctx, "chunks not announced", address, err)
			}
		})
	}
}
