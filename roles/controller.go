package roles

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/periodic"
)

// EngineReport is an engine's report about its role and orders.
type EngineReport struct {
	Role backend.Role
	// Sequence is the number of orders that the engine has taken.
	Sequence int64
	// Changing is set while the engine carries out an order.
	Changing bool
	// UsedTokens is the memory in use that cannot be evicted, as of a few hundred milliseconds ago.
	UsedTokens int
}

// Order is an order to an engine to take a role.
type Order struct {
	Role         backend.Role
	Holder       string
	FencingToken uint64
	// Expected is the sequence that the engine must have; it rejects an order that arrives late.
	Expected int64
}

// ErrOrderRejected means that the engine will not carry out an order.
var ErrOrderRejected = errors.New("roles: order rejected")

// EngineClient makes the calls to engines that the controller needs.
type EngineClient interface {
	// Report requests an engine's report about its orders.
	Report(ctx context.Context, target backend.Backend) (EngineReport, error)
	// ChangeRole sends an order. ErrOrderRejected means that the order is not carried out; after
	// any other error it may still be carried out, seconds later.
	ChangeRole(ctx context.Context, target backend.Backend, order Order) error
}

// Options configure a Controller.
type Options struct {
	EngineClient EngineClient
	Backends     *backend.Registry
	Lease        *lease.Lease
	// Holder names this node in orders.
	Holder string
	// Services returns the engine services for which this node is responsible.
	Services func() []string
	Policy   Policy
	// Demand returns the demand on a service, nil while unknown, and the number of runs of its
	// engines. Default: always unknown.
	Demand func(service string) (*Demand, map[string]int)
	// Now reads a clock that advances while the machine is suspended. Default time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Interval is the time between two reconciliations. Default 1s.
	Interval time.Duration
	// FirstStabilization is how long a change must be needed before the first order of this node.
	// Default 2s.
	FirstStabilization time.Duration
	// Stabilization is how long a change must be needed before a later order. It is longer than the
	// restart of an engine. Default 6s.
	Stabilization time.Duration
	// UrgentStabilization is how long a change must be needed if one role has far too few engines.
	// Default 1s.
	UrgentStabilization time.Duration
	// Announce notifies all nodes of an order that is about to be sent.
	Announce func(change Change, fencingToken uint64)
	// Withdraw notifies all nodes that an announced order is not sent.
	Withdraw func(change Change, fencingToken uint64)
	// NoticePeriod is the time between the announcement and the order, in which runs whose prefill
	// is in progress still reach the engine. Default 700ms.
	NoticePeriod time.Duration
	// MaxOrderDelay is how late an order without a response may still be carried out. A new lease
	// holder waits for this time. Default 13s.
	MaxOrderDelay time.Duration
	// ChangeTimeout bounds the duration of a role change. Default 20s.
	ChangeTimeout time.Duration
}

const (
	defaultInterval            = time.Second
	defaultFirstStabilization  = 2 * time.Second
	defaultStabilization       = 6 * time.Second
	defaultUrgentStabilization = time.Second
	defaultNoticePeriod        = 700 * time.Millisecond
	defaultMaxOrderDelay       = 13 * time.Second
	defaultChangeTimeout       = 20 * time.Second
	// callTimeout bounds one call to an engine or the store.
	callTimeout = time.Second
)

// Controller reconciles the role allocation with the policy.
type Controller struct {
	options Options

	mu sync.Mutex
	// changing holds the engines with a pending order, until a timeout.
	changing map[string]pendingChange
	// ordered is set once this node has sent an order.
	ordered bool
	// desired is the role for which each service needs another engine, and since when.
	desired map[string]desiredChange
}

type pendingChange struct {
	role  backend.Role
	until time.Time
}

type desiredChange struct {
	role  backend.Role
	since time.Time
}

// New returns a controller that is idle until Run.
func New(options Options) *Controller {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.FirstStabilization == 0 {
		options.FirstStabilization = defaultFirstStabilization
	}
	if options.NoticePeriod == 0 {
		options.NoticePeriod = defaultNoticePeriod
	}
	if options.Stabilization == 0 {
		options.Stabilization = defaultStabilization
	}
	if options.UrgentStabilization == 0 {
		options.UrgentStabilization = defaultUrgentStabilization
	}
	if options.Demand == nil {
		options.Demand = func(string) (*Demand, map[string]int) { return nil, nil }
	}
	if options.MaxOrderDelay == 0 {
		options.MaxOrderDelay = defaultMaxOrderDelay
	}
	if options.ChangeTimeout == 0 {
		options.ChangeTimeout = defaultChangeTimeout
	}
	return &Controller{options: options, changing: map[string]pendingChange{}, desired: map[string]desiredChange{}}
}

// Changing reports whether an engine has an order and does not have its new role yet.
func (c *Controller) Changing(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending, ordered := c.changing[id]
	if !ordered {
		return false
	}
	entry := c.options.Backends.Lookup(id)
	if c.options.Now().After(pending.until) || entry == nil || entry.Backend().Role == pending.role {
		delete(c.changing, id)
		return false
	}
	return true
}

// Run reconciles the role allocations of all services at each interval until the context ends.
func (c *Controller) Run(ctx context.Context) {
	periodic.Run(ctx, c.options.Interval, func(ctx context.Context) {
		for _, service := range c.options.Services() {
			c.reconcile(ctx, service)
		}
	})
}

// reconcile orders the changes of a service that are due.
func (c *Controller) reconcile(ctx context.Context, service string) {
	planned := c.options.Policy.Plan(c.allocation(service))
	if !c.due(service, planned) {
		return
	}
	// Changes that are still needed after the planned ones must be needed for the whole
	// stabilization time again.
	c.desired[service] = desiredChange{planned[0].Role, c.options.Now()}
	if err := c.order(ctx, planned); err != nil {
		c.options.Logger.Warn("role change failed", "service", service, "engines", len(planned),
			"role", string(planned[0].Role), "error", err.Error())
	}
}

// allocation returns the engines of each role, and how many are changing.
func (c *Controller) allocation(service string) Allocation {
	var allocation Allocation
	allocation.Demand, allocation.Runs = c.options.Demand(service)
	allocation.Prefill = c.unchanging(service, backend.RolePrefill)
	allocation.Decode = c.unchanging(service, backend.RoleDecode)
	allocation.Versions = c.versionsOf(slices.Concat(allocation.Prefill, allocation.Decode))
	for id, role := range c.pendingRoles(service) {
		if role == backend.RolePrefill {
			allocation.PendingPrefill++
			continue
		}
		allocation.PendingDecode++
		allocation.PendingDecodeVersions = append(allocation.PendingDecodeVersions, c.versionsOf([]string{id})[id])
	}
	return allocation
}

// unchanging returns the engines of a role that are not changing.
func (c *Controller) unchanging(service string, role backend.Role) []string {
	var ids []string
	for _, entry := range c.options.Backends.Ready(service, role) {
		if id := entry.Backend().ID; !c.Changing(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// versionsOf returns the software versions of engines.
func (c *Controller) versionsOf(ids []string) map[string]string {
	versions := make(map[string]string, len(ids))
	for _, id := range ids {
		if entry := c.options.Backends.Lookup(id); entry != nil {
			versions[id] = entry.Backend().SoftwareVersion
		}
	}
	return versions
}

// pendingRoles returns the new roles of the engines that are changing.
func (c *Controller) pendingRoles(service string) map[string]backend.Role {
	c.mu.Lock()
	changing := maps.Clone(c.changing)
	c.mu.Unlock()
	newRoles := map[string]backend.Role{}
	for id, change := range changing {
		entry := c.options.Backends.Lookup(id)
		if entry != nil && entry.Backend().Service == service && c.Changing(id) {
			newRoles[id] = change.role
		}
	}
	return newRoles
}

// due reports whether changes have been needed for long enough.
func (c *Controller) due(service string, planned []Change) bool {
	if len(planned) == 0 {
		delete(c.desired, service)
		return false
	}
	previous, found := c.desired[service]
	if !found || previous.role != planned[0].Role {
		// The choice of engines may differ between two plans; only the role counts.
		c.desired[service] = desiredChange{planned[0].Role, c.options.Now()}
		return false
	}
	return c.options.Now().Sub(previous.since) >= c.stabilization(planned[0])
}

// stabilization returns how long a change must be needed before it is ordered.
func (c *Controller) stabilization(planned Change) time.Duration {
	switch {
	case planned.Urgent:
		return c.options.UrgentStabilization
	case !c.ordered:
		return c.options.FirstStabilization
	default:
		return c.options.Stabilization
	}
}

// ClearChanging marks an engine as not changing, because its order was not sent.
func (c *Controller) ClearChanging(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.changing, id)
}

// MarkChanging marks an engine as changing, by an order of this node or of another one.
func (c *Controller) MarkChanging(planned Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changing[planned.Engine] = pendingChange{planned.Role, c.options.Now().Add(c.options.ChangeTimeout)}
}
