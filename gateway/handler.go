package gateway

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/tenant"
)

// Options are the parts of a Handler.
type Options struct {
	// Clock is what deadlines and waits go by. Default: the runtime's.
	Clock *clock.Clock
	// Zone is the zone of this node; back ends there are preferred.
	Zone     string
	Dialect  Dialect
	Backends *backend.Registry
	Budget   *retrybudget.Budget
	Metrics  *metrics.Set
	Logger   *slog.Logger
	// Coordinator assigns engines. Without one, each node chooses by itself, by what
	// the engines let it reserve.
	Coordinator Coordinator
	// Assignable reports whether a back end is given new work, beside its state.
	// Default: always.
	Assignable func(entry *backend.Entry) bool
	// Quotas charges requests to the limits of their tenants. Without it no limit is kept.
	Quotas Quotas
	// Quarantine knows which requests crash back ends. Without it, nothing is remembered.
	Quarantine quarantine.Judge
	// Admission decides which requests to plain services are admitted, and where they go.
	// Default: all are, by what this node has seen alone.
	Admission *admission.Node
	// Freshness returns how new the configuration of this node may be, for the log. Default: nothing is known.
	Freshness func() Freshness
	// Policy is how engines are chosen; the zero value is the default.
	Policy Policy
}

// Coordinator assigns the engines of a service to the requests of all nodes.
type Coordinator interface {
	// Assign asks for engines. An error means that no coordinator answers.
	Assign(ctx context.Context, request coordinator.Request) (coordinator.Assignment, error)
	// PromptRead reports that an engine has read the prompt of a run.
	PromptRead(service, id, engine string)
	// EngineFailed reports an engine that did not do what it was asked, where that ended
	// no run.
	EngineFailed(failure coordinator.Failure)
	// End reports a run that is over.
	End(ended coordinator.Ended)
}

// Quotas keeps the limits of tenants over all nodes.
type Quotas interface {
	// Charge decides on a request of a tenant that costs so many units.
	Charge(ctx context.Context, charged *tenant.Tenant, units float64) quota.Decision
	// Refund returns the units of a request that did not run.
	Refund(charged *tenant.Tenant, units float64)
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	options       Options
	started       time.Time
	configuration atomic.Pointer[routing.Configuration]
	draining      atomic.Bool
	waits         waitHistory
	runNames      *runNames
	counters      routeCounters
	// repeatCounters counts what reached back ends beyond the first arrival of each request.
	repeatCounters repeatCounters
	// tenantCounters counts by tenant, beside counters.
	tenantCounters tenantCounters
	firstEvents    firstEvents
}

// New returns a handler that is not ready until it has a configuration and the
// back ends are known.
func New(options Options) *Handler {
	options.Policy.setDefaults()
	if options.Assignable == nil {
		options.Assignable = func(*backend.Entry) bool { return true }
	}
	if options.Freshness == nil {
		options.Freshness = func() Freshness { return Freshness{} }
	}
	started := options.Clock.Now()
	if options.Admission == nil {
		options.Admission = admission.NewNode("", func() time.Duration { return options.Clock.Since(started) })
	}
	return &Handler{options: options, started: started, runNames: newRunNames()}
}

// Configure puts a configuration in force, unless a newer one is. It reports
// whether it did.
func (h *Handler) Configure(configuration *routing.Configuration) bool {
	for {
		current := h.configuration.Load()
		if current != nil && current.Version >= configuration.Version {
			return false
		}
		if h.configuration.CompareAndSwap(current, configuration) {
			return true
		}
	}
}

// Configuration returns the configuration in force, or nil.
func (h *Handler) Configuration() *routing.Configuration { return h.configuration.Load() }

// Drain makes the handler unready. Requests are still served.
func (h *Handler) Drain() { h.draining.Store(true) }

// Ready reports whether callers may be sent here.
func (h *Handler) Ready() bool {
	return !h.draining.Load() && h.configuration.Load() != nil && h.options.Backends.Synced()
}

const (
	// startTime is how long a node usually takes to learn what it needs.
	startTime = 500 * time.Millisecond
	// retryStarting is when a caller comes back to a node that has just started.
	retryStarting = 300 * time.Millisecond
	// retryStoreAway is when it comes back where the node has learned nothing for
	// longer: the store is away, and no other node knows anything either.
	retryStoreAway = 2500 * time.Millisecond
)

// retryNotReady returns when a caller comes back to a node that is not ready.
func (h *Handler) retryNotReady() time.Duration {
	if h.options.Clock.Since(h.started) < startTime {
		return retryStarting
	}
	return retryStoreAway
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.options.Clock.Now()
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	served := &exchange{handler: h, writer: w, arrived: arrived}
	err := served.serve(r)
	h.finish(served, err, h.options.Clock.Since(arrived))
}

// exchange is one request and what has become of it so far.
type exchange struct {
	handler       *Handler
	configuration *routing.Configuration
	writer        http.ResponseWriter
	arrived       time.Time
	request       *Request
	route         *routing.Route
	// tenant is whose request it is; nil where the configuration has no tenants, or the route is
	// public and the caller presented no key.
	tenant   *tenant.Tenant
	service  string
	deadline time.Time
	// answered is set once the head of an answer has been written.
	answered bool
	// arrivals counts what has reached back ends, runs what may have run there.
	arrivals arrivals
	runs     int
	// repeats is what the retry budget has granted to the request.
	repeats *retrybudget.Grant
	// kept is a prompt that was read for a run which its engine rejected; nil for none.
	kept *readPrompt
	// admission is the decision on a request to a plain service.
	admission admission.Decision
	// charged is how many units the request was charged, and quota the decision on that.
	charged float64
	quota   quota.Decision
	// short is the role of which there were too few engines, if the coordinator
	// said so.
	short string
	// target is the back end of the last send.
	target  string
	timings timings
	// status is that of the back end's answer that was passed on.
	status int
	// content is the fingerprint of the request once it has been worked out.
	content *quarantine.Fingerprint
	// retry tells whether the caller seems to have been refused before.
	retry retryEvidence
}

// serve answers the request or returns why it cannot.
func (x *exchange) serve(r *http.Request) error {
	h := x.handler
	request, malformed := h.options.Dialect.Parse(r)
	x.request = request
	x.configuration = h.configuration.Load()
	if x.configuration == nil || !h.options.Backends.Synced() {
		return notRun(ReasonNotReady, h.retryNotReady(), nil)
	}
	if malformed != nil {
		return rejected(http.StatusBadRequest, ReasonMalformed, malformed)
	}
	if err := x.identify(r.URL.Path); err != nil {
		return err
	}
	if err := x.read(r); err != nil {
		return err
	}
	if err := x.keptAway(); err != nil {
		return err
	}
	timeout := x.route.Timeout
	if x.request.Timeout > 0 && x.request.Timeout < timeout {
		timeout = x.request.Timeout
	}
	x.deadline = x.arrived.Add(timeout)
	x.retry = h.waits.observe(x.route, x.request.Timeout)
	ctx, cancel := context.WithTimeout(r.Context(), x.left())
	defer cancel()
	x.service = x.route.Target(rand.Float64())
	service := x.configuration.Services[x.service]
	generates := service != nil && service.Engine != nil && x.route.Kind == routing.KindStream
	if generates {
		if err := h.options.Dialect.Measure(x.request); err != nil {
			return rejected(http.StatusBadRequest, ReasonMalformed, err)
		}
	}
	if err := x.charge(ctx); err != nil {
		return err
	}
	h.options.Budget.Request(x.service)
	x.repeats = h.options.Budget.Grant(x.service)
	defer x.repeats.Release()
	if generates {
		return x.generate(ctx, service.Engine)
	}
	return x.forward(ctx)
}

// read reads the body of the request.
func (x *exchange) read(r *http.Request) error {
	request := x.request
	limited := http.MaxBytesReader(x.writer, r.Body, x.configuration.Limits.MaxBodyBytes)
	body, err := io.ReadAll(limited)
	request.Body = body
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return rejected(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err)
	}
	if err != nil {
		return rejected(http.StatusBadRequest, ReasonMalformed, err)
	}
	return nil
}

// left returns how long the caller still waits.
func (x *exchange) left() time.Duration { return -x.handler.options.Clock.Since(x.deadline) }

// ended returns the failure of a context that has ended, or nil.
func ended(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return expired(ctx.Err())
	default:
		return unknown(ReasonCallerLeft, ctx.Err())
	}
}

// finish writes the gateway's own answer, where there is one, and accounts for
// the request.
func (h *Handler) finish(x *exchange, err error, took time.Duration) {
	x.giveBack()
	h.countArrivals(x)
	h.options.Metrics.Observe("request_duration", took)
	if err == nil {
		h.options.Metrics.Add("requests_answered", 1)
		h.logAnswered(x, took)
		return
	}
	var final *failure
	if !errors.As(err, &final) {
		final = unknown(ReasonBackendFailed, err)
	}
	if x.runs > 0 && final.retryAfter > 0 {
		// Something of the request may have run: no promise can be made.
		final = unknown(final.reason, final.cause)
	}
	h.options.Metrics.Add("requests_"+string(final.reason), 1)
	h.countFailure(x, final)
	h.logFailure(x, final, took)
	if x.answered {
		// An answer that ends early must not look whole.
		panic(http.ErrAbortHandler)
	}
	final.write(x.writer)
}
