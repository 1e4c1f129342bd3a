package claim

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/tasks"
)

const (
	// writeInterval is the minimum time between two writes of a shard, which bounds the fleet's writes to
	// Shards/writeInterval a second.
	writeInterval = 150 * time.Millisecond
	// writeTimeout bounds one write. The claims of a write that takes longer are abandoned.
	writeTimeout = 1500 * time.Millisecond
	// RetryAfter is when a caller may retry after an outage.
	RetryAfter = 2 * time.Second
)

// ErrUnavailable is returned if the claim could not be recorded, so the call did not run.
var ErrUnavailable = api.NewError(http.StatusServiceUnavailable, api.CodeClaimUnavailable, api.OutcomeNotRun,
	"the claim could not be recorded").WithRetryAfter(RetryAfter)

// operation is one claim, or the withdrawal of one.
type operation struct {
	key        Key
	claimID    string
	bodyDigest []byte
	// withdraw is set for a withdrawal.
	withdraw bool
	// done receives the result.
	done chan error
}

// Writer writes the claims of the shards that the node owns. It is safe for concurrent use. Two nodes that both
// consider themselves the owner do no harm: the platform's conditional update decides.
type Writer struct {
	store   objectapi.Store
	metrics *metrics.Set
	now     func() time.Time

	mu sync.Mutex
	// pending holds the operations that are not written yet, by object name.
	pending map[string][]*operation
	// running is set for the shards whose operations are being written.
	running map[int]bool
	// abandoned are the identifiers of claims that were reported as failed although they may have been
	// recorded, with the times of the reports. No call was sent under them, so they are removed with the next
	// write.
	abandoned map[string]time.Time
	writes    tasks.Group
}

// NewWriter returns a writer without pending operations.
func NewWriter(store objectapi.Store, set *metrics.Set, now func() time.Time) *Writer {
	return &Writer{
		store: store, metrics: set, now: now,
		pending: map[string][]*operation{}, running: map[int]bool{}, abandoned: map[string]time.Time{},
	}
}

// Claim records that the call runs under claimID. It returns nil if the caller may run the call, now and only
// once.
func (w *Writer) Claim(ctx context.Context, key Key, claimID string, bodyDigest []byte) error {
	if err := key.CheckAge(w.now()); err != nil {
		return err
	}
	return w.submit(ctx, &operation{key: key, claimID: claimID, bodyDigest: bodyDigest, done: make(chan error, 1)})
}

// Withdraw removes the claim of a call that certainly did not run.
func (w *Writer) Withdraw(ctx context.Context, key Key, claimID string) error {
	return w.submit(ctx, &operation{key: key, claimID: claimID, withdraw: true, done: make(chan error, 1)})
}

func (w *Writer) submit(ctx context.Context, op *operation) error {
	object, shard := op.key.object(), op.key.shard()
	w.mu.Lock()
	w.pending[object] = append(w.pending[object], op)
	start := !w.running[shard]
	w.running[shard] = true
	w.mu.Unlock()
	if start {
		w.writes.Go(func() { w.drain(shard) })
	}
	select {
	case err := <-op.done:
		return err
	case <-ctx.Done():
		w.abandon(op)
		return ErrUnavailable
	}
}

func (w *Writer) abandon(op *operation) {
	if op.withdraw {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned[op.claimID] = w.now()
}

// drain writes the pending operations of a shard, one object at a time, until none is left.
func (w *Writer) drain(shard int) {
	for {
		object, batch := w.next(shard)
		if batch == nil {
			return
		}
		w.write(object, batch)
		time.Sleep(writeInterval)
	}
}

// next removes and returns the pending operations of one object of the shard.
func (w *Writer) next(shard int) (string, []*operation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for object, batch := range w.pending {
		if batch[0].key.shard() == shard {
			delete(w.pending, object)
			return object, batch
		}
	}
	w.running[shard] = false
	return "", nil
}

func (w *Writer) write(object string, batch []*operation) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	var results []error
	_, err := objectapi.Modify(ctx, w.store, objectapi.Change{
		Kind: objectapi.KindClaim, Name: object,
		Mutate: func(current json.RawMessage) (json.RawMessage, error) {
			stored, err := decodeBucket(current)
			if err != nil {
				return nil, err
			}
			var changed bool
			results, changed = w.applyAll(&stored, batch)
			if !changed {
				return nil, nil
			}
			return json.Marshal(stored)
		},
	})
	w.metrics.Add("claim_writes", 1)
	w.metrics.Add("claim_operations", int64(len(batch)))
	for i, op := range batch {
		if err != nil {
			w.metrics.Add("claim_failures", 1)
			w.abandon(op)
			op.done <- ErrUnavailable
			continue
		}
		op.done <- w.settle(op, results[i])
	}
}

// settle returns the result of an operation. It checks the key's age again: a node that was paused during the
// write may have recorded the claim in place of a deleted one.
func (w *Writer) settle(op *operation, result error) error {
	if result != nil || op.withdraw {
		return result
	}
	return op.key.CheckAge(w.now())
}

// applyAll applies the operations to a bucket. It reports whether the bucket changed.
func (w *Writer) applyAll(stored *bucket, batch []*operation) ([]error, bool) {
	changed := w.removeAbandoned(stored)
	results := make([]error, len(batch))
	for i, op := range batch {
		var applied bool
		applied, results[i] = w.apply(stored, op)
		changed = changed || applied
	}
	return results, changed
}

func (w *Writer) removeAbandoned(stored *bucket) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := false
	for field, existing := range stored.Claims {
		if _, abandoned := w.abandoned[existing.ClaimID]; abandoned {
			delete(stored.Claims, field)
			changed = true
		}
	}
	for claimID, at := range w.abandoned {
		if w.now().Sub(at) > Retention+maxClockSkew {
			delete(w.abandoned, claimID)
		}
	}
	return changed
}

func (w *Writer) apply(stored *bucket, op *operation) (bool, error) {
	field := op.key.field()
	existing, exists := stored.Claims[field]
	if op.withdraw {
		if exists && existing.ClaimID == op.claimID {
			delete(stored.Claims, field)
			return true, nil
		}
		return false, nil
	}
	if err := op.key.CheckAge(w.now()); err != nil {
		return false, err
	}
	switch {
	case w.isAbandoned(op.claimID):
		return false, ErrUnavailable
	case !exists, supersedes(op.claimID, existing.ClaimID):
		stored.Claims[field] = record{ClaimID: op.claimID, BodyDigest: op.bodyDigest}
		return true, nil
	case existing.ClaimID == op.claimID:
		return false, nil
	case !bytes.Equal(existing.BodyDigest, op.bodyDigest):
		return false, api.NewError(http.StatusConflict, api.CodeKeyConflict, api.OutcomeNotRun, "the key belongs to a call with another body")
	default:
		return false, api.NewError(http.StatusConflict, api.CodeAlreadyClaimed, api.OutcomeUnknown, "a call with this key has been started before")
	}
}

func (w *Writer) isAbandoned(claimID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, abandoned := w.abandoned[claimID]
	return abandoned
}

// Wait blocks until no write is in progress.
func (w *Writer) Wait() { w.writes.Wait() }

// sweepDepth is how many of the newest expired buckets of a shard a sweep deletes.
const sweepDepth = 5

// Sweep deletes the expired buckets of the shards for which owns is true.
func (w *Writer) Sweep(ctx context.Context, owns func(shard int) bool) {
	newest := w.now().Add(-Retention-maxClockSkew).UnixMilli()/bucketLength.Milliseconds() - 1
	for shard := range Shards {
		if !owns(shard) {
			continue
		}
		for bucket := newest; bucket > newest-sweepDepth; bucket-- {
			w.deleteBucket(ctx, objectName(shard, bucket))
		}
	}
}

func (w *Writer) deleteBucket(ctx context.Context, name string) {
	object, err := w.store.Get(ctx, objectapi.KindClaim, name)
	if err != nil {
		return
	}
	err = w.store.Delete(ctx, objectapi.KindClaim, name, object.Version)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		w.metrics.Add("claim_sweep_errors", 1)
	}
}
