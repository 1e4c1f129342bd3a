package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/scheduler"
	"github.com/reelrun/reelrun/timeline"
)

// Engines are the engine calls that an owner uses.
type Engines interface {
	Streams(ctx context.Context, address string) ([]engine.StreamStatus, error)
	Load(ctx context.Context, address string) (engine.Load, error)
	Cancel(ctx context.Context, address string, attempt engine.Attempt) error
	CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error)
}

// Members are the cluster methods that an owner uses.
type Members interface {
	Owns(zone, key string) bool
	IsTerminated(node string, incarnation uint64) bool
	SeesMajority() bool
}

// Leaving reports whether the engine of the given name is leaving.
type Leaving func(name string) bool

// Options configure an Owner.
type Options struct {
	Configuration *configuration.Holder
	Engines       Engines
	Members       Members
	Leaving       Leaving
	Scheduler     scheduler.Options
	Metrics       *metrics.Set
	Events        *timeline.Ring
	// Epoch identifies this incarnation of the node.
	Epoch uint64
	// ResumeWindow is how long a stream without a live holder is kept for another node to take
	// over. Default 5s.
	ResumeWindow time.Duration
	// Now reads the clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultResumeWindow = 5 * time.Second
	// poolRetention is how long a pool's state is kept after its last use by a node that no longer
	// owns it.
	poolRetention = 10 * time.Second
)

// Owner grants the work of the pools that the node owns. It is safe for
// concurrent use.
type Owner struct {
	options Options

	mu    sync.Mutex
	pools map[string]*pool
	// suspects is when each stream of a pool was first found to have no live holder.
	suspects map[string]map[orphan]time.Time
	// offsets is the sequence number of the last cache event that was read from each engine.
	offsets map[string]uint64
}

// New returns an owner without pools. A pool's state is created by its first use.
func New(options Options) *Owner {
	if options.ResumeWindow == 0 {
		options.ResumeWindow = defaultResumeWindow
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Owner{options: options, pools: map[string]*pool{}, suspects: map[string]map[orphan]time.Time{}, offsets: map[string]uint64{}}
}

var errUnknownPool = api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeNotRun, "pool is not configured")

// pool returns the state of a pool. Before creating one, it requests the streams and roles of all
// engines.
func (o *Owner) pool(ctx context.Context, name string) (*pool, error) {
	snapshot := o.options.Configuration.Current()
	configured, ok := snapshot.Pool(name)
	if !ok {
		return nil, errUnknownPool
	}
	o.mu.Lock()
	existing, ok := o.pools[name]
	o.mu.Unlock()
	if ok {
		return existing, nil
	}
	reports := o.listEngines(ctx, configured, func(string) bool { return false })
	o.mu.Lock()
	defer o.mu.Unlock()
	if existing, ok := o.pools[name]; ok {
		return existing, nil
	}
	created := newPool(configured, o.options.Scheduler, o.options.Metrics, o.options.Now)
	created.version = snapshot.Version()
	o.pools[name] = created
	o.suspects[name] = map[orphan]time.Time{}
	created.inspect(reports, o.holders(), o.options.ResumeWindow, o.suspects[name])
	o.applyLeaving(created, configured)
	o.options.Events.Record(timeline.Event{Kind: "pool-owned", Detail: name})
	return created, nil
}

// HandleGrant serves a Grant.
func (o *Owner) HandleGrant(ctx context.Context, grant *peerpb.Grant) (*peerpb.Granted, error) {
	target, err := o.pool(ctx, grant.GetPool())
	if err != nil {
		return nil, err
	}
	decision, err := target.grant(ctx, grant)
	if err != nil {
		return nil, err
	}
	if decision.Kind == scheduler.KindReject {
		return nil, rejectionError(decision)
	}
	return &peerpb.Granted{PrefillEngine: decision.Prefill, Epoch: o.options.Epoch}, nil
}

func rejectionError(decision scheduler.Decision) error {
	code := api.CodeNoCapacity
	status := http.StatusServiceUnavailable
	switch decision.Reason {
	case scheduler.ReasonDeadline:
		code = api.CodeDeadline
		status = http.StatusTooManyRequests
	case scheduler.ReasonTooLarge:
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, "%s", decision.Reason)
	case reasonOwnerChanged:
		return errOwnerChanged
	}
	return api.NewError(status, code, api.OutcomeNotRun, "%s", decision.Reason).WithRetryAfter(decision.RetryAfter)
}

// errOwnerChanged tells the entry node to call the pool's new owner.
var errOwnerChanged = api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "pool has another owner")

// HandleProgress serves a Progress and returns the decode engine.
func (o *Owner) HandleProgress(ctx context.Context, progress *peerpb.Progress) (*peerpb.Granted, error) {
	target, err := o.pool(ctx, progress.GetPool())
	if err != nil {
		return nil, err
	}
	decode, err := target.progress(ctx, grantID(progress.GetRequestId(), progress.GetAttempt()), progress.GetFailedEngine())
	if err != nil {
		return nil, err
	}
	return &peerpb.Granted{DecodeEngine: decode, Epoch: o.options.Epoch}, nil
}

// HandleRelease serves a Release.
func (o *Owner) HandleRelease(release *peerpb.Release) {
	o.mu.Lock()
	target, ok := o.pools[release.GetPool()]
	o.mu.Unlock()
	if ok {
		target.release(grantID(release.GetRequestId(), release.GetAttempt()), int(release.GetOutputTokens()), release.GetFailedEngine())
	}
}

// HandleRestore serves a Restore.
func (o *Owner) HandleRestore(ctx context.Context, restore *peerpb.Restore) error {
	target, err := o.pool(ctx, restore.GetGrant().GetPool())
	if err != nil {
		return err
	}
	target.restore(restore)
	return nil
}

// PoolStatus is the status of a pool.
type PoolStatus struct {
	Pool    string `json:"pool"`
	Waiting int    `json:"waiting"`
	Active  int    `json:"active"`
}

// Status returns the status of the pools whose state the node keeps.
func (o *Owner) Status() []PoolStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	statuses := make([]PoolStatus, 0, len(o.pools))
	for name, owned := range o.pools {
		owned.mu.Lock()
		statuses = append(statuses, PoolStatus{Pool: name, Waiting: owned.scheduler.Waiting(), Active: owned.scheduler.Active()})
		owned.mu.Unlock()
	}
	return statuses
}
