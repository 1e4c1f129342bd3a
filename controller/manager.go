package controller

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/metrics"
)

// Request names the object to reconcile.
type Request struct {
	Name string
}

// RequestsFor returns a request for each name.
func RequestsFor(names []string) []Request {
	requests := make([]Request, len(names))
	for i, name := range names {
		requests[i] = Request{Name: name}
	}
	return requests
}

// Result determines when the object is reconciled again.
type Result struct {
	// RequeueAfter, if above zero, is the maximum time until the next round, which
	// otherwise starts after the controller's interval.
	RequeueAfter time.Duration
}

// Reconciler brings one object to its desired state.
type Reconciler interface {
	Reconcile(ctx context.Context, request Request) (Result, error)
}

// ReconcilerFunc adapts a function to a Reconciler.
type ReconcilerFunc func(ctx context.Context, request Request) (Result, error)

// Reconcile implements Reconciler.
func (f ReconcilerFunc) Reconcile(ctx context.Context, request Request) (Result, error) {
	return f(ctx, request)
}

// Controller is a reconciler with the objects that it reconciles.
type Controller struct {
	// Name appears in the counters reconciles_<name> and reconcile_errors_<name>.
	Name       string
	Reconciler Reconciler
	// Requests lists the objects. Nil means one object without a name.
	Requests func() []Request
	// Interval is the time between two rounds. Default 1s.
	Interval time.Duration
	// Concurrency bounds the number of objects reconciled concurrently. Default 8.
	Concurrency int
}

const (
	defaultInterval    = time.Second
	defaultConcurrency = 8
)

// Manager runs controllers.
type Manager struct {
	metrics     *metrics.Set
	controllers []Controller
}

// NewManager returns a manager without controllers.
func NewManager(set *metrics.Set) *Manager { return &Manager{metrics: set} }

// Add registers a controller. It must not be called after Run.
func (m *Manager) Add(added Controller) {
	if added.Interval == 0 {
		added.Interval = defaultInterval
	}
	if added.Concurrency == 0 {
		added.Concurrency = defaultConcurrency
	}
	if added.Requests == nil {
		added.Requests = func() []Request { return []Request{{}} }
	}
	m.controllers = append(m.controllers, added)
}

// Run runs the controllers until the context ends.
func (m *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	for _, added := range m.controllers {
		running.Add(1)
		go func() {
			defer running.Done()
			m.loop(ctx, added)
		}()
	}
	running.Wait()
}

func (m *Manager) loop(ctx context.Context, c Controller) {
	timer := time.NewTimer(c.Interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(m.round(ctx, c))
		}
	}
}

// round reconciles every object once and returns the time until the next round.
func (m *Manager) round(ctx context.Context, c Controller) time.Duration {
	var mu sync.Mutex
	next := c.Interval
	slots := make(chan struct{}, c.Concurrency)
	var running sync.WaitGroup
	for _, request := range c.Requests() {
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			result, err := c.Reconciler.Reconcile(ctx, request)
			m.metrics.Add("reconciles_"+c.Name, 1)
			if err != nil {
				m.metrics.Add("reconcile_errors_"+c.Name, 1)
			}
			mu.Lock()
			defer mu.Unlock()
			if result.RequeueAfter > 0 {
				next = min(next, result.RequeueAfter)
			}
		}()
	}
	running.Wait()
	return next
}
