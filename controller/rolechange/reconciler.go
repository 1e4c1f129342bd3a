package rolechange

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/controller"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/rebalance"
	"github.com/reelrun/reelrun/timeline"
)

// DemandSource reports the demand on the pools that the node owns.
type DemandSource interface {
	Demand(pool string) (owner.PoolDemand, bool)
}

// Acceptor confirms plans.
type Acceptor interface {
	Accept(ctx context.Context, plan *operator.Plan) (configuration.Head, error)
}

// Options configures a Reconciler.
type Options struct {
	Configuration *configuration.Holder
	Demand        DemandSource
	Acceptor      Acceptor
	Metrics       *metrics.Set
	Events        *timeline.Ring
	// Rebalance holds the thresholds. The zero value selects the defaults.
	Rebalance rebalance.Options
	// Now returns the current time. Default time.Now.
	Now func() time.Time
}

// Advice is a role change that is recommended for a pool.
type Advice struct {
	Pool   string   `json:"pool"`
	Engine string   `json:"engine"`
	Role   api.Role `json:"role"`
	// PrefillUtilization and DecodeUtilization are the utilizations of the roles when the advice
	// was given: the demand divided by the capacity of the engines of the role.
	PrefillUtilization float64 `json:"prefill_use"`
	DecodeUtilization  float64 `json:"decode_use"`
}

// observedPool is a pool whose load is monitored.
type observedPool struct {
	advisor   *rebalance.Advisor
	startedAt time.Time
	// observedAt is when demand was read.
	observedAt time.Time
	demand     owner.PoolDemand
	advice     *Advice
}

// Reconciler monitors the owned pools. It is safe for concurrent use.
type Reconciler struct {
	options Options

	mu    sync.Mutex
	pools map[string]*observedPool
}

// New returns a reconciler without observations.
func New(options Options) *Reconciler {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Reconciler{options: options, pools: map[string]*observedPool{}}
}

// Requests lists the configured pools.
func (r *Reconciler) Requests() []controller.Request {
	return controller.RequestsFor(r.options.Configuration.Current().PoolNames())
}

// Advice returns the current advice, ordered by pool.
func (r *Reconciler) Advice() []Advice {
	r.mu.Lock()
	defer r.mu.Unlock()
	var current []Advice
	for _, pool := range r.pools {
		if pool.advice != nil {
			current = append(current, *pool.advice)
		}
	}
	slices.SortFunc(current, func(a, b Advice) int { return strings.Compare(a.Pool, b.Pool) })
	return current
}

// Reconcile evaluates the demand on one pool since the previous call, and applies new advice if the
// pool's policy is "apply".
func (r *Reconciler) Reconcile(ctx context.Context, request controller.Request) (controller.Result, error) {
	configured, ok := r.options.Configuration.Current().Pool(request.Name)
	demand, owned := r.options.Demand.Demand(request.Name)
	if !ok || !owned {
		r.forget(request.Name)
		return controller.Result{}, nil
	}
	advice := r.observe(configured, demand)
	if advice == nil {
		return controller.Result{}, nil
	}
	r.options.Metrics.Add("role_changes_advised", 1)
	r.options.Events.Record(timeline.Event{Kind: "role-change-advised", Engine: advice.Engine, Detail: string(advice.Role)})
	if configured.RoleChanges != api.RoleChangesApply {
		return controller.Result{}, nil
	}
	return controller.Result{}, r.apply(ctx, advice)
}

func (r *Reconciler) forget(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pools, pool)
}

// observe records the demand on a pool and returns new advice for it, or nil.
func (r *Reconciler) observe(configured *api.Pool, demand owner.PoolDemand) *Advice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	observed, ok := r.pools[configured.Name]
	if !ok || demand.Epoch != observed.demand.Epoch {
		// The demand counters start anew with each epoch of the pool's state at this node.
		r.pools[configured.Name] = &observedPool{advisor: rebalance.New(r.options.Rebalance), startedAt: now, observedAt: now, demand: demand}
		return nil
	}
	elapsed := now.Sub(observed.observedAt).Seconds()
	if elapsed <= 0 {
		return nil
	}
	load := rebalance.Load{
		PrefillEngines: demand.PrefillEngines, DecodeEngines: demand.DecodeEngines,
		Prefill: (demand.Prefill - observed.demand.Prefill) / elapsed, Decode: (demand.Decode - observed.demand.Decode) / elapsed,
	}
	if observed.advice != nil && roleOf(configured, observed.advice.Engine) == observed.advice.Role {
		observed.advice = nil // The advice has been applied.
	}
	observed.observedAt, observed.demand = now, demand
	change, due := observed.advisor.Observe(now.Sub(observed.startedAt), load)
	if !due || demand.Changing {
		return nil
	}
	observed.advice = &Advice{
		Pool: configured.Name, Engine: lastEngineWithRole(configured, change.From), Role: change.To,
		PrefillUtilization: change.PrefillUtilization, DecodeUtilization: change.DecodeUtilization,
	}
	return observed.advice
}

func roleOf(pool *api.Pool, engine string) api.Role {
	for _, member := range pool.Engines {
		if member.Name == engine {
			return member.Role
		}
	}
	return ""
}

// lastEngineWithRole returns the engine of a role whose name sorts last.
func lastEngineWithRole(pool *api.Pool, role api.Role) string {
	last := ""
	for _, member := range pool.Engines {
		if member.Role == role {
			last = max(last, member.Name)
		}
	}
	return last
}

// apply applies advice under the policy "apply". A change that fails because of a
// concurrent one is advised again after the cool-down if it is still due.
func (r *Reconciler) apply(ctx context.Context, advice *Advice) error {
	intent := operator.Intent{Action: operator.ActionEngine, Engine: advice.Engine, Role: advice.Role}
	plan, _, err := operator.MakePlan(r.options.Configuration.Current(), intent)
	if err != nil {
		return err
	}
	if _, err := r.options.Acceptor.Accept(ctx, plan); err != nil {
		return err
	}
	r.options.Metrics.Add("role_changes_applied", 1)
	r.options.Events.Record(timeline.Event{Kind: "role-change-applied", Engine: advice.Engine, Detail: string(advice.Role)})
	return nil
}
