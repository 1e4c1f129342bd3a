package engineorder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/controller"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/timeline"
)

// Engines is the part of the engine client that the reconciler uses.
type Engines interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	Streams(ctx context.Context, address string) ([]engine.StreamStatus, error)
	Order(ctx context.Context, address string, order engine.Order, guard func() error) error
}

// Owner tells whether the node owns a key.
type Owner interface {
	Owns(zone, key string) bool
}

// Options are the parts of a Reconciler.
type Options struct {
	Configuration *configuration.Holder
	Store         objectapi.Store
	Engines       Engines
	Owner         Owner
	Metrics       *metrics.Set
	Events        *timeline.Ring
	// Holder identifies this start of the node.
	Holder string
	// LeaseDuration is how long a lease lasts without renewal. Default 10s.
	LeaseDuration time.Duration
	// OrderTimeout is the longest time an order can be under way. Default 3s.
	OrderTimeout time.Duration
	// Now reads a monotonic clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultOrderTimeout  = 3 * time.Second
	defaultLeaseDuration = 10 * time.Second
	// busyRetry is how soon an engine that still has to drain is looked at again.
	busyRetry = 500 * time.Millisecond
)

// Reconciler orders the engines of owned pools.
type Reconciler struct {
	options Options

	mu     sync.Mutex
	leases map[string]*lease.Lease
}

// New returns a reconciler.
func New(options Options) *Reconciler {
	if options.OrderTimeout == 0 {
		options.OrderTimeout = defaultOrderTimeout
	}
	if options.LeaseDuration == 0 {
		options.LeaseDuration = defaultLeaseDuration
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Reconciler{options: options, leases: map[string]*lease.Lease{}}
}

// Requests lists the configured pools.
func (r *Reconciler) Requests() []controller.Request {
	return controller.RequestsFor(r.options.Configuration.Current().PoolNames())
}

// Reconcile brings the engines of one pool to their configured state.
func (r *Reconciler) Reconcile(ctx context.Context, request controller.Request) (controller.Result, error) {
	pool, ok := r.options.Configuration.Current().Pool(request.Name)
	if !ok || !r.options.Owner.Owns(pool.Zone, owner.Key(pool.Name)) {
		return controller.Result{}, nil
	}
	wanted := r.pending(ctx, pool)
	if len(wanted) == 0 {
		return controller.Result{}, nil
	}
	held := r.lease(pool.Name)
	fence, err := held.Acquire(ctx)
	if errors.Is(err, lease.ErrHeld) {
		return controller.Result{RequeueAfter: busyRetry}, nil
	}
	if err != nil {
		return controller.Result{}, err
	}
	if !pool.ChecksFence && !held.TakeoverWaitOver(r.options.OrderTimeout) {
		return controller.Result{RequeueAfter: busyRetry}, nil
	}
	done, err := r.send(ctx, held, fence, wanted)
	if err != nil || !done {
		return controller.Result{RequeueAfter: busyRetry}, err
	}
	return controller.Result{}, held.Release(ctx)
}

func (r *Reconciler) lease(pool string) *lease.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.leases[pool]
	if !ok {
		known = lease.New(lease.Options{
			Store: r.options.Store, Name: "pool-" + pool, Holder: r.options.Holder,
			Duration: r.options.LeaseDuration, Now: r.options.Now,
		})
		r.leases[pool] = known
	}
	return known
}

// pendingOrder is an order that an engine still needs.
type pendingOrder struct {
	member *api.Engine
	order  engine.Order
}

// pending compares each engine's report with the configuration. An engine that
// does not answer is left for the next round.
func (r *Reconciler) pending(ctx context.Context, pool *api.Pool) []pendingOrder {
	var wanted []pendingOrder
	for i := range pool.Engines {
		member := &pool.Engines[i]
		load, err := r.options.Engines.Load(ctx, member.Address)
		if err != nil {
			continue
		}
		for _, order := range Orders(member, load) {
			wanted = append(wanted, pendingOrder{member, order})
		}
	}
	return wanted
}

// Orders returns what an engine that reports load still needs, without fences.
func Orders(member *api.Engine, load engine.Load) []engine.Order {
	var orders []engine.Order
	if load.Role != member.Role {
		orders = append(orders, engine.Order{Kind: engine.OrderRole, Role: member.Role})
	}
	if member.ModelVersion != "" && load.ModelVersion != member.ModelVersion {
		orders = append(orders, engine.Order{Kind: engine.OrderModel, Value: member.ModelVersion})
	}
	for _, adapter := range member.Adapters {
		if !slices.Contains(load.Adapters, adapter) {
			orders = append(orders, engine.Order{Kind: engine.OrderAdapter, Value: adapter})
		}
	}
	return orders
}

// send sends the orders whose engines are free. It reports whether all are done.
func (r *Reconciler) send(ctx context.Context, held *lease.Lease, fence uint64, wanted []pendingOrder) (bool, error) {
	done := true
	for _, pending := range wanted {
		if pending.order.Kind != engine.OrderAdapter && !r.isDrained(ctx, pending.member) {
			done = false
			continue
		}
		if err := r.sendOne(ctx, held, fence, pending); err != nil {
			return false, err
		}
	}
	return done, nil
}

// isDrained reports whether an engine holds no stream: a change of role or model
// would cut it off.
func (r *Reconciler) isDrained(ctx context.Context, member *api.Engine) bool {
	streams, err := r.options.Engines.Streams(ctx, member.Address)
	return err == nil && len(streams) == 0
}

func (r *Reconciler) sendOne(ctx context.Context, held *lease.Lease, fence uint64, pending pendingOrder) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make order identity")
	}
	order := pending.order
	order.ID = id.String()
	order.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, r.options.OrderTimeout)
	defer cancel()
	guard := func() error { return held.Check(r.options.OrderTimeout) }
	if err := r.options.Engines.Order(ctx, pending.member.Address, order, guard); err != nil {
		r.options.Metrics.Add("order_errors", 1)
		return err
	}
	r.options.Metrics.Add("orders", 1)
	r.options.Events.Record(timeline.Event{Kind: "engine-ordered", Engine: pending.member.Name, Detail: string(order.Kind)})
	return nil
}
