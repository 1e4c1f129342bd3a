package roles

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/lease"
	"github.com/reelrun/reelrun/periodic"
)

// EngineReport is what an engine says of its orders.
type EngineReport struct {
	Role backend.Role
	// Sequence is how many orders it has taken.
	Sequence int64
	// Changing is set while an order is under way.
	Changing bool
	// UsedTokens is how much memory cannot give way, some hundred milliseconds ago.
	UsedTokens int
}

// Order has an engine take a role.
type Order struct {
	Role   backend.Role
	Holder string
	Fence  uint64
	// Expected is the sequence that the engine must have; an order that comes late
	// is refused by it.
	Expected int64
}

// ErrOrderRefused means that the engine will not carry an order out.
var ErrOrderRefused = errors.New("roles: order refused")

// EngineClient is how engines take orders.
type EngineClient interface {
	// Report asks an engine what it says of its orders.
	Report(ctx context.Context, target backend.Backend) (EngineReport, error)
	// ChangeRole gives an order. ErrOrderRefused means that it is not carried out;
	// after any other error it may be, seconds later.
	ChangeRole(ctx context.Context, target backend.Backend, order Order) error
}

// Options are the parts of a Controller.
type Options struct {
	Dialect  EngineClient
	Backends *backend.Registry
	Lease    *lease.Lease
	// Holder names this node in orders.
	Holder string
	// Services returns the services of engines that this node is to look after.
	Services func() []string
	Policy   Policy
	// Demand returns the demand on a service, nil while it is not known, and how many runs its
	// engines have. Default: nothing is known.
	Demand func(service string) (*Demand, map[string]int)
	// Now reads a clock that counts on while the machine is suspended. Default time.Now.
	Now    func() time.Time
	Logger *slog.Logger
	// Interval is the time between two looks. Default 1s.
	Interval time.Duration
	// FirstStabilization is how long a change must be wanted before the first order of this
	// node. Default 2s.
	FirstStabilization time.Duration
	// Stabilization is the same for later orders. It outlasts the restart of an engine.
	// Default 6s.
	Stabilization time.Duration
	// UrgentStabilization is the same where one role has far too few engines. Default 1s.
	UrgentStabilization time.Duration
	// Announce tells all nodes of an order that is about to be given.
	Announce func(change Change, fence uint64)
	// Withdraw tells them that the order is not given after all.
	Withdraw func(change Change, fence uint64)
	// NoticePeriod is the time between the announcement and the order, in which answers
	// whose prompts are being read reach the engine. Default 700ms.
	NoticePeriod time.Duration
	// MaxOrderDelay is how late an order may be carried out that got no answer. A new
	// holder waits for so long. Default 13s.
	MaxOrderDelay time.Duration
	// ChangeTimeout is how long an engine may take for a change. Default 20s.
	ChangeTimeout time.Duration
}

const (
	defaultInterval      = time.Second
	defaultFirstSettle   = 2 * time.Second
	defaultSettle        = 6 * time.Second
	defaultUrgentSettle  = time.Second
	defaultNotice        = 700 * time.Millisecond
	defaultLatestOrder   = 13 * time.Second
	defaultChangeTimeout = 20 * time.Second
	// callTimeout bounds one call to an engine or the store.
	callTimeout = time.Second
)

// Controller brings the division of engines to the policy.
type Controller struct {
	options Options

	mu sync.Mutex
	// changing holds the engines under an order, until the time given.
	changing map[string]change
	// ordered is set once this node has given an order.
	ordered bool
	// seen is the role of which each service wants another engine, and since when.
	seen map[string]wanted
}

type change struct {
	role  backend.Role
	until time.Time
}

type wanted struct {
	role  backend.Role
	since time.Time
}

// New returns a controller that does nothing until Run.
func New(options Options) *Controller {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.FirstStabilization == 0 {
		options.FirstStabilization = defaultFirstSettle
	}
	if options.NoticePeriod == 0 {
		options.NoticePeriod = defaultNotice
	}
	if options.Stabilization == 0 {
		options.Stabilization = defaultSettle
	}
	if options.UrgentStabilization == 0 {
		options.UrgentStabilization = defaultUrgentSettle
	}
	if options.Demand == nil {
		options.Demand = func(string) (*Demand, map[string]int) { return nil, nil }
	}
	if options.MaxOrderDelay == 0 {
		options.MaxOrderDelay = defaultLatestOrder
	}
	if options.ChangeTimeout == 0 {
		options.ChangeTimeout = defaultChangeTimeout
	}
	return &Controller{options: options, changing: map[string]change{}, seen: map[string]wanted{}}
}

// Changing reports whether an engine is under an order and has not taken its new
// role yet.
func (c *Controller) Changing(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered, under := c.changing[id]
	if !under {
		return false
	}
	entry := c.options.Backends.Lookup(id)
	if c.options.Now().After(ordered.until) || entry == nil || entry.Backend().Role == ordered.role {
		delete(c.changing, id)
		return false
	}
	return true
}

// Run looks at the division at each interval until the context ends.
func (c *Controller) Run(ctx context.Context) {
	periodic.Run(ctx, c.options.Interval, func(ctx context.Context) {
		for _, service := range c.options.Services() {
			c.reconcile(ctx, service)
		}
	})
}

// reconcile orders the changes of a service that are due.
func (c *Controller) reconcile(ctx context.Context, service string) {
	planned := c.options.Policy.Plan(c.division(service))
	if !c.due(service, planned) {
		return
	}
	// What is still wanted after these must be wanted for as long again.
	c.seen[service] = wanted{planned[0].Role, c.options.Now()}
	if err := c.order(ctx, planned); err != nil {
		c.options.Logger.Warn("roles not changed", "service", service, "engines", len(planned),
			"role", string(planned[0].Role), "error", err.Error())
	}
}

// division returns the engines of each role, and how many are changing.
func (c *Controller) division(service string) Allocation {
	var division Allocation
	division.Demand, division.Runs = c.options.Demand(service)
	division.Prefill = c.settled(service, backend.RolePrefill)
	division.Decode = c.settled(service, backend.RoleDecode)
	for _, role := range c.arriving(service) {
		if role == backend.RolePrefill {
			division.PendingPrefill++
		} else {
			division.PendingDecode++
		}
	}
	return division
}

// settled returns the engines of a role that are not changing.
func (c *Controller) settled(service string, role backend.Role) []string {
	var ids []string
	for _, entry := range c.options.Backends.Ready(service, role) {
		if id := entry.Backend().ID; !c.Changing(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// arriving returns the engines that are changing, with their new roles.
func (c *Controller) arriving(service string) map[string]backend.Role {
	c.mu.Lock()
	ordered := maps.Clone(c.changing)
	c.mu.Unlock()
	arriving := map[string]backend.Role{}
	for id, under := range ordered {
		entry := c.options.Backends.Lookup(id)
		if entry != nil && entry.Backend().Service == service && c.Changing(id) {
			arriving[id] = under.role
		}
	}
	return arriving
}

// due reports whether changes have been wanted for long enough.
func (c *Controller) due(service string, planned []Change) bool {
	if len(planned) == 0 {
		delete(c.seen, service)
		return false
	}
	known, seen := c.seen[service]
	if !seen || known.role != planned[0].Role {
		// Which engines change may differ from one look to the next.
		c.seen[service] = wanted{planned[0].Role, c.options.Now()}
		return false
	}
	return c.options.Now().Sub(known.since) >= c.settle(planned[0])
}

// settle returns how long a change must be wanted.
func (c *Controller) settle(planned Change) time.Duration {
	switch {
	case planned.Urgent:
		return c.options.UrgentStabilization
	case !c.ordered:
		return c.options.FirstStabilization
	default:
		return c.options.Stabilization
	}
}

// ClearChanging takes an engine as not changing: its order was not given.
func (c *Controller) ClearChanging(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.changing, id)
}

// MarkChanging takes an engine as changing, by an order of this node or of another one.
func (c *Controller) MarkChanging(planned Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changing[planned.Engine] = change{planned.Role, c.options.Now().Add(c.options.ChangeTimeout)}
}
