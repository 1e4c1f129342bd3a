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

// Owner reports whether the node owns a key.
type Owner interface {
	Owns(zone, key string) bool
}

// Options configures a Reconciler.
type Options struct {
	Configuration *configuration.Holder
	Store         objectapi.Store
	Engines       Engines
	Owner         Owner
	Metrics       *metrics.Set
	Events        *timeline.Ring
	// Holder identifies this incarnation of the node.
	Holder string
	// LeaseDuration is how long a lease lasts without renewal. Default 10s.
	LeaseDuration time.Duration
	// OrderTimeout bounds the time that an order is in flight. Default 3s.
	OrderTimeout time.Duration
	// Now reads a monotonic clock. Default time.Now.
	Now func() time.Time
}

const (
	defaultOrderTimeout  = 3 * time.Second
	defaultLeaseDuration = 10 * time.Second
	// busyRetryInterval is the time until the next attempt while an engine drains,
	// another node holds the lease, or orders of the previous holder may still be in
	// flight, and after sending an order has failed.
	busyRetryInterval = 500 * time.Millisecond
)

// Reconciler sends orders to the engines of owned pools.
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
	pending := r.pending(ctx, pool)
	if len(pending) == 0 {
		return controller.Result{}, nil
	}
	poolLease := r.lease(pool.Name)
	fencingToken, err := poolLease.Acquire(ctx)
	if errors.Is(err, lease.ErrHeld) {
		return controller.Result{RequeueAfter: busyRetryInterval}, nil
	}
	if err != nil {
		return controller.Result{}, err
	}
	if !pool.ChecksFencingToken && !poolLease.TakeoverWaitOver(r.options.OrderTimeout) {
		return controller.Result{RequeueAfter: busyRetryInterval}, nil
	}
	allSent, err := r.send(ctx, poolLease, fencingToken, pending)
	if err != nil || !allSent {
		return controller.Result{RequeueAfter: busyRetryInterval}, err
	}
	return controller.Result{}, poolLease.Release(ctx)
}

func (r *Reconciler) lease(pool string) *lease.Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	poolLease, ok := r.leases[pool]
	if !ok {
		poolLease = lease.New(lease.Options{
			Store: r.options.Store, Name: "pool-" + pool, Holder: r.options.Holder,
			Duration: r.options.LeaseDuration, Now: r.options.Now,
		})
		r.leases[pool] = poolLease
	}
	return poolLease
}

// pendingOrder is an order that is still to be sent to an engine.
type pendingOrder struct {
	member *api.Engine
	order  engine.Order
}

// pending compares the state that each engine reports with the configuration, and returns the
// orders that are needed. An engine that does not respond is left to the next round.
func (r *Reconciler) pending(ctx context.Context, pool *api.Pool) []pendingOrder {
	var orders []pendingOrder
	for i := range pool.Engines {
		member := &pool.Engines[i]
		load, err := r.options.Engines.Load(ctx, member.Address)
		if err != nil {
			continue
		}
		for _, order := range Orders(member, load) {
			orders = append(orders, pendingOrder{member, order})
		}
	}
	return orders
}

// Orders returns the orders that an engine with the reported load still needs, without
// fencing tokens.
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

// send sends the orders whose engines are drained, and all adapter orders. It reports whether it
// sent all orders.
func (r *Reconciler) send(ctx context.Context, poolLease *lease.Lease, fencingToken uint64, orders []pendingOrder) (bool, error) {
	allSent := true
	for _, pending := range orders {
		if pending.order.Kind != engine.OrderAdapter && !r.isDrained(ctx, pending.member) {
			allSent = false
			continue
		}
		if err := r.sendOne(ctx, poolLease, fencingToken, pending); err != nil {
			return false, err
		}
	}
	return allSent, nil
}

// isDrained reports whether an engine has no stream, which a change of role or model
// would interrupt.
func (r *Reconciler) isDrained(ctx context.Context, member *api.Engine) bool {
	streams, err := r.options.Engines.Streams(ctx, member.Address)
	return err == nil && len(streams) == 0
}

func (r *Reconciler) sendOne(ctx context.Context, poolLease *lease.Lease, fencingToken uint64, pending pendingOrder) error {
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate order ID")
	}
	order := pending.order
	order.ID = id.String()
	order.FencingToken = fencingToken
	ctx, cancel := context.WithTimeout(ctx, r.options.OrderTimeout)
	defer cancel()
	guard := func() error { return poolLease.Check(r.options.OrderTimeout) }
	if err := r.options.Engines.Order(ctx, pending.member.Address, order, guard); err != nil {
		r.options.Metrics.Add("order_errors", 1)
		return err
	}
	r.options.Metrics.Add("orders", 1)
	r.options.Events.Record(timeline.Event{Kind: "engine-ordered", Engine: pending.member.Name, Detail: string(order.Kind)})
	return nil
}
