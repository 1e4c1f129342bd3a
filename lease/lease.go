package lease

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
)

// ErrHeld is returned while another node holds the lease.
var ErrHeld = errors.New("lease: held by another node")

// ErrExpiring is returned if too little of the lease remains to act.
var ErrExpiring = errors.New("lease: expired or about to expire")

// Record is the stored form of a lease.
type Record struct {
	// Holder is the node and incarnation that holds the lease; empty if released.
	Holder string `json:"holder"`
	// FencingToken increases by one with each holder, and by more with the first holder after a restore of the store.
	FencingToken uint64 `json:"fence"`
	// Renewals increases with each renewal, so that a candidate detects a live holder.
	Renewals uint64 `json:"renewals"`
	// DurationMillis is how long the lease lasts without renewal.
	DurationMillis int64 `json:"duration_ms"`
	// Idle is set if the holder has no order in flight and will acquire the lease again before it acts: another
	// node may take it immediately.
	Idle bool `json:"idle,omitempty"`
	// Epoch is the store's epoch in which the record was written.
	Epoch int64 `json:"epoch,omitempty"`
}

// epochTokenBits is the number of bits of a fencing token that count the holders of one epoch of the store.
const epochTokenBits = 20

// firstToken returns a fencing token above those of all earlier epochs.
func firstToken(epoch int64) uint64 { return uint64(max(0, epoch)) << epochTokenBits }

// Options configures a Lease.
type Options struct {
	Store objectapi.Store
	// Name is the lease object's name.
	Name string
	// Holder identifies this start of the node.
	Holder string
	// Duration is how long the lease lasts without renewal. Default 10s.
	Duration time.Duration
	// Margin is kept between the last action and the end of the lease. Default 1s.
	Margin time.Duration
	// Now reads a monotonic clock. Default time.Now.
	Now func() time.Time
	// Epoch returns the newest known epoch of the store. Default: always zero.
	Epoch func() int64
}

const (
	defaultDuration = 10 * time.Second
	defaultMargin   = time.Second
)

// Lease is one node's view of a lease. It is safe for concurrent use.
type Lease struct {
	options Options

	mu sync.Mutex
	// observed is the record as last read or written, and observedSince is since when it has been unchanged.
	observed      Record
	observedSince time.Time
	// version is that of the stored record when it was last read.
	version int64
	// epoch is the store's epoch as of the last read, and epochSince is when a read first showed it.
	epoch      int64
	epochSince time.Time
	// held is set while this node holds the lease, until heldUntil unless it is renewed.
	held      bool
	heldUntil time.Time
	// takenOverAt is when the lease was taken from a holder that had neither released it nor marked it idle.
	takenOverAt time.Time
}

// New returns a lease that is not held.
func New(options Options) *Lease {
	if options.Duration == 0 {
		options.Duration = defaultDuration
	}
	if options.Margin == 0 {
		options.Margin = defaultMargin
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Epoch == nil {
		options.Epoch = func() int64 { return 0 }
	}
	return &Lease{options: options}
}

// Acquire takes or renews the lease and returns its fencing token. It returns ErrHeld while another holder may
// be active.
func (l *Lease) Acquire(ctx context.Context) (uint64, error) {
	started := l.options.Now()
	current, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	proposed, mayTake := l.next(current)
	if !mayTake {
		return 0, ErrHeld
	}
	if err := l.write(ctx, proposed); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	takenOver := current.Holder != "" && current.Holder != proposed.Holder && !current.Idle
	isRestored := current.Epoch < proposed.Epoch
	if takenOver || isRestored {
		l.takenOverAt = l.options.Now()
	}
	l.observed, l.observedSince = proposed, l.options.Now()
	l.held = true
	l.heldUntil = started.Add(l.options.Duration)
	return proposed.FencingToken, nil
}

// read fetches the record and tracks when it last changed.
func (l *Lease) read(ctx context.Context) (Record, error) {
	object, err := l.options.Store.Get(ctx, objectapi.KindLease, l.options.Name)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return Record{}, errors.Wrap(err, "read lease")
	}
	var record Record
	if len(object.Spec) > 0 {
		if err := json.Unmarshal(object.Spec, &record); err != nil {
			return Record{}, errors.Wrap(err, "decode lease")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = object.Version
	if epoch := max(objectapi.EpochOf(object.Version), l.options.Epoch()); epoch != l.epoch || l.epochSince.IsZero() {
		l.epoch, l.epochSince = epoch, l.options.Now()
	}
	if l.observedSince.IsZero() || record != l.observed {
		l.observed, l.observedSince = record, l.options.Now()
	}
	return record, nil
}

// next returns the record to write, and whether this node may write it.
func (l *Lease) next(current Record) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	proposed := current
	proposed.Renewals++
	proposed.DurationMillis = l.options.Duration.Milliseconds()
	proposed.Idle = false
	proposed.Epoch = l.epoch
	duration := time.Duration(current.DurationMillis) * time.Millisecond
	if current.Epoch < l.epoch {
		// A restore may have removed the record of a later holder.
		proposed.Holder = l.options.Holder
		proposed.FencingToken = max(current.FencingToken+1, firstToken(l.epoch))
		return proposed, now.Sub(l.epochSince) > max(duration, l.options.Duration)
	}
	if current.Holder == l.options.Holder {
		return proposed, true
	}
	if current.Holder != "" && !current.Idle && now.Sub(l.observedSince) <= duration {
		return Record{}, false
	}
	proposed.Holder = l.options.Holder
	proposed.FencingToken++
	return proposed, true
}

// write stores the record. A write with an unknown outcome does not make the node the holder; the next Acquire
// finds its name in the record.
func (l *Lease) write(ctx context.Context, record Record) error {
	spec, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	l.mu.Lock()
	version := l.version
	l.mu.Unlock()
	object := objectapi.Object{Kind: objectapi.KindLease, Name: l.options.Name, Version: version, Spec: spec}
	if _, err := l.options.Store.Put(ctx, object); err != nil {
		if errors.Is(err, objectapi.ErrConflict) {
			return ErrHeld
		}
		return errors.Wrap(err, "write lease")
	}
	return nil
}

// Check returns nil if the node holds the lease for at least the given time and the margin. It is called right
// before an order is sent, with the longest time that the order can be in flight.
func (l *Lease) Check(maxDuration time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.options.Now().Add(maxDuration+l.options.Margin).After(l.heldUntil) {
		return ErrExpiring
	}
	return nil
}

// TakeoverWaitOver reports whether the given time has passed since the lease was taken from a holder that had
// not given it up: an order of that holder may have been in flight. Engines that check fencing tokens need no
// such wait.
func (l *Lease) TakeoverWaitOver(maxDuration time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.takenOverAt.IsZero() || l.options.Now().Sub(l.takenOverAt) >= maxDuration
}

// MarkIdle records that this holder has no order in flight, so that another one need not wait. This node acts
// again only after another Acquire. It must not be called while an order may be in flight.
func (l *Lease) MarkIdle(ctx context.Context) error {
	l.mu.Lock()
	held, record := l.held, l.observed
	l.held = false
	l.mu.Unlock()
	if !held || record.Holder != l.options.Holder {
		return nil
	}
	record.Idle = true
	record.Renewals++
	// l.version is that of the last read; after an Acquire, the stored version is one higher.
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	if current.Holder != record.Holder || current.FencingToken != record.FencingToken {
		return nil
	}
	return l.write(ctx, record)
}

// Release gives the lease up, so that the next holder need not wait. It must not be called while an order may
// be in flight.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, record := l.held, l.observed
	l.held = false
	l.mu.Unlock()
	if !held || record.Holder != l.options.Holder {
		return nil
	}
	current, err := l.read(ctx)
	if err != nil {
		return err
	}
	if current.Holder != l.options.Holder {
		return nil
	}
	current.Holder = ""
	current.Renewals++
	return l.write(ctx, current)
}
