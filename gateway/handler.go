package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/clock"
	"github.com/reelrun/reelrun/coordinator"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/quarantine"
	"github.com/reelrun/reelrun/quota"
	"github.com/reelrun/reelrun/requesttarget"
	"github.com/reelrun/reelrun/retrybudget"
	"github.com/reelrun/reelrun/routing"
	"github.com/reelrun/reelrun/softwareversions"
	"github.com/reelrun/reelrun/streamorigin"
	"github.com/reelrun/reelrun/tenant"
)

// Options configure a Handler.
type Options struct {
	// Clock is used for deadlines and waits. Default: the runtime's clock.
	Clock *clock.Clock
	// Zone is the zone of this node; backends in it are preferred.
	Zone     string
	Dialect  Dialect
	Backends *backend.Registry
	Budget   *retrybudget.Budget
	Metrics  *metrics.Set
	Logger   *slog.Logger
	// Coordinator assigns engines. Without one, each node chooses engines itself, among those that accept
	// its reservations.
	Coordinator Coordinator
	// Assignable reports whether a backend may be given new work, in addition to its state. Default:
	// always.
	Assignable func(entry *backend.Entry) bool
	// Quotas charges requests to the quotas of their tenants. Without it no quota is enforced.
	Quotas Quotas
	// Quarantine tracks which requests crash backends. Without it, crashes are not recorded.
	Quarantine quarantine.Tracker
	// Admission decides which requests to plain services are admitted, and where they are sent. Default:
	// all are admitted, and backends are chosen by this node's own observations.
	Admission *admission.Node
	// Freshness describes how current the configuration of this node is, for the log. Default: the zero
	// value.
	Freshness func() Freshness
	// Streams records where streams begin, for the nodes at which their callers resume them. Without it, streams that are
	// resumed are served like new ones.
	Streams StreamOrigins
	// SoftwareVersions proves at which version a stream of unknown origin began. Without it, none is known.
	SoftwareVersions SoftwareVersions
	// FailureCounts reports whether a failed call to a backend, sent at a time, is evidence against the backend that
	// other nodes should learn of, and not a fault of this node's own link. Default: always.
	FailureCounts func(target backend.Backend, sent time.Time) bool
	// Policy controls how engines are chosen; the zero value means the defaults.
	Policy Policy
}

// Coordinator assigns the engines of a service to the requests of all nodes.
type Coordinator interface {
	// Assign requests engines for a run. An error means that no coordinator answered.
	Assign(ctx context.Context, request coordinator.Request) (coordinator.Assignment, error)
	// PrefillDone reports that an engine has prefilled the prompt of a run.
	PrefillDone(service, id, engine string)
	// EngineFailed reports an engine failure that did not end a run.
	EngineFailed(failure coordinator.EngineFailure)
	// End reports the result of a run that has ended.
	End(result coordinator.RunResult)
}

// StreamOrigins records and finds where streams begin, over all nodes.
type StreamOrigins interface {
	// Keep records where a stream began at this node, and Record at other nodes too.
	Keep(key streamorigin.Key, origin streamorigin.Origin)
	Record(key streamorigin.Key, origin streamorigin.Origin)
	// Find returns where a stream began, and which node knew it. It reports false if none of the nodes that answer in time
	// knows.
	Find(ctx context.Context, key streamorigin.Key) (origin streamorigin.Origin, source string, found bool)
}

// SoftwareVersions knows which software versions the backends of each service have had.
type SoftwareVersions interface {
	// Single returns the only version that a service has had for longer than callers wait for streams, or an error that says
	// why that is not known.
	Single(ctx context.Context, service string) (string, error)
	// OnlyPublished returns the version of a service if no other one is known to be published. A stream that begins at another
	// version would be taken for one of this version, once all nodes are lost.
	OnlyPublished(service string) (version string, isOnly bool)
	// Undescribed records that a stream has begun at a start of its backend that discovery did not describe.
	Undescribed(start softwareversions.Start)
}

// Quotas enforces the quotas of tenants over all nodes.
type Quotas interface {
	// Charge decides on a request of a tenant that costs the given units.
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
	inProgress    atomic.Int64
	waits         waitHistory
	runNames      *runNames
	counters      routeCounters
	// retryCounters counts the upstream retries of each service.
	retryCounters retryCounters
	// tenantCounters counts how the requests of each tenant end, in addition to counters by route.
	tenantCounters tenantCounters
	firstEvents    firstEvents
}

// New returns a handler that is not ready until it has a configuration and the backends are synced.
func New(options Options) *Handler {
	options.Policy.setDefaults()
	if options.Assignable == nil {
		options.Assignable = func(*backend.Entry) bool { return true }
	}
	if options.Freshness == nil {
		options.Freshness = func() Freshness { return Freshness{} }
	}
	if options.FailureCounts == nil {
		options.FailureCounts = func(backend.Backend, time.Time) bool { return true }
	}
	started := options.Clock.Now()
	if options.Admission == nil {
		options.Admission = admission.NewNode("", func() time.Duration { return options.Clock.Since(started) })
	}
	return &Handler{options: options, started: started, runNames: newRunNames()}
}

// Configure makes a configuration active, unless the active one is at least as new. It reports whether the
// configuration became active.
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

// Configuration returns the active configuration, or nil.
func (h *Handler) Configuration() *routing.Configuration { return h.configuration.Load() }

// Drain makes the handler unready. Requests are still served.
func (h *Handler) Drain() { h.draining.Store(true) }

// Ready reports whether callers may be sent here.
func (h *Handler) Ready() bool {
	return !h.draining.Load() && h.configuration.Load() != nil && h.options.Backends.Synced()
}

const (
	// usualStartTime is how long a node usually takes to receive its configuration and backends.
	usualStartTime = 500 * time.Millisecond
	// startingRetryAfter is the Retry-After of a node that has just started.
	startingRetryAfter = 300 * time.Millisecond
	// storeUnavailableRetryAfter is the Retry-After of a node that is not ready after usualStartTime: the
	// store is unavailable, and no other node has the objects either.
	storeUnavailableRetryAfter = 2500 * time.Millisecond
)

// countedPastDeadline is how long after the end of its time a request must end to be counted as held beyond it.
const countedPastDeadline = 250 * time.Millisecond

// notReadyRetryAfter returns the Retry-After of a node that is not ready.
func (h *Handler) notReadyRetryAfter() time.Duration {
	if h.options.Clock.Since(h.started) < usualStartTime {
		return startingRetryAfter
	}
	return storeUnavailableRetryAfter
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if conn := callerconn.From(r.Context()); conn != nil && !conn.Begin() {
		h.options.Metrics.Add("requests_on_closed_connections", 1)
		panic(http.ErrAbortHandler) // Nobody would receive the response.
	}
	h.inProgress.Add(1)
	defer h.inProgress.Add(-1)
	served := newExchange(h, w, r)
	err := served.serveRecovered(r)
	h.finish(served, err, served.sinceArrival())
}

// InProgress returns the number of requests that are being served.
func (h *Handler) InProgress() int { return int(h.inProgress.Load()) }

// exchange is one request and its state.
type exchange struct {
	handler       *Handler
	configuration *routing.Configuration
	writer        http.ResponseWriter
	// incoming is the request as the server has read it, and bodyRead is set once its body has been read.
	incoming *http.Request
	bodyRead bool
	// conn is the caller's connection; nil if the server does not measure its connections.
	conn *callerconn.Conn
	// arrived is when the first byte of the request arrived. The time of the request begins then: to its caller, the wait to
	// be read is a part of it.
	arrived time.Time
	request *Request
	route   *routing.Route
	// tenant is the caller's tenant; nil if the configuration has no tenants, or if the route is public and
	// the caller presented no key.
	tenant   *tenant.Tenant
	service  string
	deadline time.Time
	// answered is set once the head of a response has been written.
	answered bool
	// arrivals counts the calls that have reached backends, runs those that may have run there.
	arrivals arrivals
	runs     int
	// retryGrant is what the retry budget has granted to the request.
	retryGrant *retrybudget.Grant
	// version constrains the software of the backends that may run the request.
	version backend.VersionConstraint
	// origin is where the request's stream began, and originSource where that is known from; zero before it has begun.
	origin       streamorigin.Origin
	originSource string
	// confirmedOrigin is the origin of a stream that began within the response, once its engine has been asked for its start.
	confirmedOrigin atomic.Pointer[streamorigin.Origin]
	// keptPrompt is a prompt that was prefilled for a run which the decode engine did not take; nil for none.
	keptPrompt *prefilledPrompt
	// admission is the decision on a request to a plain service.
	admission admission.Decision
	// charged is the number of units charged for the request, and quota the tenant's quota decision.
	charged float64
	quota   quota.Decision
	// shortRole is the role with too few engines, if the coordinator named one.
	shortRole string
	// target is the backend of the last send, and via the node through which the last response came; empty for a
	// direct connection.
	target  string
	via     string
	timings timings
	// status is the status of the backend's response that was passed on.
	status int
	// content is the fingerprint of the request; nil until it has been computed.
	content *quarantine.Fingerprint
	// promptParts are the shared parts of the request's prompt; nil until they have been computed.
	promptParts []quarantine.Part
	// trialCrashes is the number of crashes of the request at which it was last granted a trial; zero if it was not.
	trialCrashes int
	// quarantinedBy is the name of the record for which the request was rejected.
	quarantinedBy quarantine.Fingerprint
	// clientRetry is the evidence that the caller was rejected before.
	clientRetry clientRetryEvidence
	// abandon ends the call in progress, with its failover, if the handling of the request panics; nil if there is none.
	abandon func()
}

// newExchange returns the state of a request whose head has just been read.
func newExchange(h *Handler, w http.ResponseWriter, r *http.Request) *exchange {
	read := h.options.Clock.Now()
	x := &exchange{handler: h, writer: w, incoming: r, conn: callerconn.From(r.Context()), arrived: read}
	if x.conn != nil {
		x.arrived = x.conn.Arrived()
		x.timings.readWait = read.Sub(x.arrived)
	}
	return x
}

// serve responds to the request, or returns why it cannot.
func (x *exchange) serve(r *http.Request) error {
	h := x.handler
	request, malformed := h.options.Dialect.Parse(r)
	x.request = request
	x.configuration = h.configuration.Load()
	if x.configuration == nil || !h.options.Backends.Synced() {
		return notRun(ReasonNotReady, h.notReadyRetryAfter(), nil)
	}
	if malformed != nil {
		return rejected(http.StatusBadRequest, ReasonMalformed, malformed)
	}
	if err := x.identify(requesttarget.Path(request.URI)); err != nil {
		return err
	}
	x.deadline = x.arrived.Add(x.timeout())
	if x.left() <= 0 {
		return notRun(ReasonReadLate, rejectedRetryAfter, nil)
	}
	if err := x.readBody(r); err != nil {
		return err
	}
	defer x.endTrial()
	if err := x.checkQuarantine(); err != nil {
		return err
	}
	x.clientRetry = h.waits.observe(x.route, x.request.Timeout)
	ctx, cancel := context.WithTimeout(r.Context(), x.left())
	defer cancel()
	x.service = x.route.Target(rand.Float64())
	if err := x.resumeAtOrigin(ctx); err != nil {
		return err
	}
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
	x.retryGrant = h.options.Budget.Grant(x.service)
	defer x.retryGrant.Release()
	if generates {
		return x.generate(ctx, service.Engine)
	}
	return x.forward(ctx)
}

// timeout returns how long the request may take: the timeout of its route, or less if its caller waits for less.
func (x *exchange) timeout() time.Duration {
	if x.request.Timeout > 0 {
		return min(x.request.Timeout, x.route.Timeout)
	}
	return x.route.Timeout
}

// left returns the time until the caller's deadline.
func (x *exchange) left() time.Duration { return -x.handler.options.Clock.Since(x.deadline) }

// contextFailure returns the failure of a context that has ended, or nil.
func contextFailure(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return expired(ctx.Err())
	default:
		return unknown(ReasonCallerDisconnected, ctx.Err())
	}
}

// finish writes the gateway's own response, if there is one, and accounts for the request.
func (h *Handler) finish(x *exchange, err error, took time.Duration) {
	x.refund()
	h.countArrivals(x)
	h.options.Metrics.Observe("request_duration", took)
	h.options.Metrics.Observe("request_read_wait", x.timings.readWait)
	h.options.Metrics.Observe("request_body", x.timings.body)
	if x.pastDeadline() > countedPastDeadline {
		h.options.Metrics.Add("requests_past_deadline", 1)
	}
	if err == nil {
		h.options.Metrics.Add("requests_answered", 1)
		h.logAnswered(x, took)
		h.watchEnd(x)
		return
	}
	var final *failure
	if !errors.As(err, &final) {
		final = unknown(ReasonBackendFailed, err)
	}
	if x.runs > 0 && final.retryAfter > 0 {
		// Part of the request may have run, so the response must not promise that nothing has.
		final = unknown(final.reason, final.cause)
	}
	h.options.Metrics.Add("requests_"+string(final.reason), 1)
	h.countFailure(x, final)
	h.logFailure(x, final, took)
	if x.answered {
		// A truncated response must not look complete.
		panic(http.ErrAbortHandler)
	}
	x.settleBody()
	x.limitWriting()
	final.write(x.writer)
	h.watchEnd(x)
}
