package completion

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/timeline"
)

const (
	// maxAttempts bounds how often a request is started, and so what its retries
	// can add to the load of a pool.
	maxAttempts = 3
	// prefillMargin is added to the predicted time of a prefill before it counts
	// as failed.
	prefillMargin = 5 * time.Second
)

// errTakenOver ends the earlier connection of a request that has arrived again.
var errTakenOver = api.NewError(http.StatusConflict, api.CodeTakenOver, api.OutcomeUnknown, "another connection has taken the request over")

// run is one request on its way.
type run struct {
	service  *Service
	exchange *filter.Exchange
	request  *parsed
	sink     sink

	// requestID is the identity at the engines. It is that of the first arrival.
	requestID string
	attempt   uint32
	excluded  []string
	// generated is the text of the tokens before offset, as far as this node has
	// seen it from the start.
	generated strings.Builder
	whole     bool
	offset    int
	// sent is the offset of the first token that the caller lacks.
	sent int
	// dispatched states that an engine may have run the request.
	dispatched bool

	firstToken time.Time
	lastToken  time.Time

	turn turnState
}

func (s *Service) newRun(exchange *filter.Exchange, request *parsed) *run {
	created := &run{
		service: s, exchange: exchange, request: request, requestID: exchange.RequestID,
		whole: true, sent: request.next,
	}
	created.turn.init()
	return created
}

func (r *run) outcome() api.Outcome {
	if r.dispatched {
		return api.OutcomeUnknown
	}
	return api.OutcomeNotRun
}

func (r *run) event(kind timeline.Kind, engineName, detail string) {
	r.service.options.Events.Record(timeline.Event{
		Kind: kind, Request: r.requestID, Tenant: r.exchange.Tenant.Name, Engine: engineName, Detail: detail,
	})
}

// execute takes the request to its end. It starts over, from the tokens that it
// has, when an engine fails.
func (r *run) execute(ctx context.Context) error {
	for tries := 1; ; tries++ {
		if err := r.keptAway(); err != nil {
			return err
		}
		err := r.try(ctx)
		if err == nil || !r.canRetry(ctx, err) || tries >= maxAttempts {
			return err
		}
		r.service.options.Metrics.Add("attempt_retries", 1)
		r.event("attempt-retried", "", "")
	}
}

// canRetry reports whether another attempt can help. A completion changes
// nothing outside the engines, so it may run again; what the caller has received
// is never sent a second time.
func (r *run) canRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, errTakenOver) {
		return false
	}
	var refused *refusedError
	return !errors.As(err, &refused)
}

// refusedError is the final answer of the pools' owners.
type refusedError struct{ cause *api.Error }

// Error implements error.
func (e *refusedError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e *refusedError) Unwrap() error { return e.cause }

func (r *run) try(ctx context.Context) error {
	if resumed := r.turn.takeResume(); resumed != nil {
		return r.resumeElsewhere(ctx, resumed)
	}
	r.attempt++
	held, err := r.ask(ctx)
	if err != nil {
		return err
	}
	return r.withGrant(ctx, held)
}

func (r *run) withGrant(ctx context.Context, held *grant) error {
	result, address, err := r.prefill(ctx, held)
	if err != nil {
		r.service.grants.giveBack(held, -1, r.failedEngine(ctx, err, held.prefillEngine()))
		return err
	}
	if r.remaining() <= 1 {
		err := r.deliver(r.offset, result.Text)
		r.service.grants.giveBack(held, 1, "")
		if err != nil {
			return err
		}
		return r.finish()
	}
	return r.decode(ctx, held, result, address)
}

// remaining is the number of tokens that are left to produce.
func (r *run) remaining() int { return r.request.maxTokens - r.offset }

// failedEngine names an engine that failed by itself, and excludes it from the
// request's next attempt.
func (r *run) failedEngine(ctx context.Context, err error, name string) string {
	if ctx.Err() != nil {
		return ""
	}
	r.excluded = append(r.excluded, name)
	if api.IsCode(err, api.CodeNoCapacity) || api.IsCode(err, api.CodeCancelled) {
		return ""
	}
	if api.AsError(err, api.OutcomeUnknown).Outcome != api.OutcomeNotRun {
		r.engineFailed(ctx, name)
	}
	return name
}

// ask asks the owners of the model's pools in turn, those of the node's own
// zone first, until one grants.
func (r *run) ask(ctx context.Context) (*grant, error) {
	var final error = errNoPool
	for _, pool := range r.pools(r.service.options.Cluster.Self().Zone) {
		held, err := r.askPool(ctx, pool)
		if err == nil {
			r.event("granted", held.prefillEngine(), pool.Name)
			return held, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		final = sooner(final, err)
	}
	r.event("refused", "", "")
	return nil, &refusedError{cause: api.AsError(final, api.OutcomeNotRun).WithOutcome(r.outcome())}
}

var errNoPool = api.NewError(http.StatusServiceUnavailable, api.CodeNoCapacity, api.OutcomeNotRun, "no pool can take the request").WithRetryAfter(time.Second)

// sooner returns the refusal after which the caller may come back first.
func sooner(a, b error) error {
	if errors.Is(a, errNoPool) {
		return b
	}
	typedA, typedB := api.AsError(a, api.OutcomeNotRun), api.AsError(b, api.OutcomeNotRun)
	if typedB.RetryAfter > 0 && (typedA.RetryAfter == 0 || typedB.RetryAfter < typedA.RetryAfter) {
		return typedB
	}
	return typedA
}

// pools returns the pools of the request's model, those of the zone first. The
// newest configuration counts, since it may have changed since the arrival.
func (r *run) pools(zone string) []*api.Pool {
	all := r.exchange.Snapshot.PoolsOf(r.request.class.Model)
	ordered := make([]*api.Pool, 0, len(all))
	for _, pool := range all {
		if pool.Zone == zone {
			ordered = append(ordered, pool)
		}
	}
	for _, pool := range all {
		if pool.Zone != zone {
			ordered = append(ordered, pool)
		}
	}
	return ordered
}

// moveRetries is how often a pool is asked again because its owner has changed.
const moveRetries = 2

func (r *run) askPool(ctx context.Context, pool *api.Pool) (*grant, error) {
	var err error
	for range moveRetries + 1 {
		var held *grant
		held, err = r.service.grants.ask(ctx, pool, r.grantRequest())
		if err == nil {
			return held, nil
		}
		if !retryAsk(err) || ctx.Err() != nil {
			return nil, err
		}
		r.attempt++
	}
	return nil, err
}

// retryAsk reports whether the owner has moved or has not answered.
func retryAsk(err error) bool {
	var typed *api.Error
	if !errors.As(err, &typed) {
		return true
	}
	return typed.Code == api.CodeUnavailable && typed.RetryAfter == 0
}

func (r *run) grantRequest() *peerpb.Grant {
	class, tenant := r.request.class, r.exchange.Tenant
	holder := r.service.holder()
	waited := r.service.options.Now().Sub(r.exchange.Arrival)
	return &peerpb.Grant{
		RequestId: r.requestID, Attempt: r.attempt, Tenant: tenant.Name, Weight: tenant.Weight,
		Holder:       &peerpb.Holder{Node: holder.Node, Incarnation: holder.Incarnation},
		PromptTokens: uint32(engine.CountTokens(r.request.prompt) + r.offset), MaxTokens: uint32(r.remaining()),
		FirstTokenUs: (class.FirstToken.Std() - waited).Microseconds(), TokenIntervalUs: class.TokenInterval.Std().Microseconds(),
		// A request whose caller has tokens already goes on however late it is.
		LateAllowed: class.LateAllowed || r.sent > 0, Priority: int32(class.Priority),
		Prefixes: engine.BlockHashes(tenant.Name, class.Model, r.request.prompt), ExcludedEngines: r.excluded,
	}
}

// engineOf returns an engine of the newest configuration that this run knows.
func (r *run) engineOf(name string) (configuration.EngineRef, error) {
	ref, ok := r.exchange.Snapshot.Engine(name)
	if !ok {
		return configuration.EngineRef{}, errors.Newf("engine %s is not configured", name)
	}
	return ref, nil
}

func (r *run) engineAttempt() engine.Attempt {
	return engine.Attempt{RequestID: r.requestID, Number: r.attempt}
}

func (r *run) prefill(ctx context.Context, held *grant) (engine.PrefillResult, string, error) {
	name := held.prefillEngine()
	ref, err := r.engineOf(name)
	if err != nil {
		return engine.PrefillResult{}, "", err
	}
	tokens := engine.CountTokens(r.request.prompt)
	predicted := time.Duration(float64(tokens) / ref.Pool.PrefillTokensPerSecond * float64(time.Second))
	limited, cancel := context.WithTimeout(ctx, 2*predicted+prefillMargin)
	defer cancel()
	r.dispatched = true
	r.event("prefill", name, "")
	result, err := r.service.options.Engines.Prefill(limited, ref.Engine.Address, engine.PrefillRequest{
		Attempt: r.engineAttempt(), Holder: r.service.holder(), Model: r.request.class.Model,
		Salt: r.exchange.Tenant.Name, Prompt: r.request.prompt, Priority: r.request.class.Priority,
		MaxTokens: r.remaining(), Generated: r.generated.String(), Offset: r.offset, Seed: r.seed(),
	})
	if err != nil {
		r.service.cancels.cancel(name, ref.Engine.Address, r.engineAttempt())
	}
	return result, ref.Engine.Address, err
}

// seed fixes the sampling of every attempt, and of every arrival of a request
// with a key.
func (r *run) seed() uint64 {
	if r.request.key != "" {
		return xxhash.Sum64String(runKey(r.exchange.Tenant.Name, r.request.key))
	}
	return xxhash.Sum64String(r.requestID)
}

// deliver hands a token to the caller unless the caller has it already.
func (r *run) deliver(offset int, text string) error {
	r.offset = offset + 1
	if r.whole {
		r.generated.WriteString(text)
	}
	r.observe()
	if offset < r.sent {
		return nil
	}
	if err := r.sink.token(offset, text); err != nil {
		return err
	}
	r.sent = offset + 1
	return nil
}

func (r *run) observe() {
	now := r.service.options.Now()
	set, class := r.service.options.Metrics, r.request.class.Name
	if r.firstToken.IsZero() {
		r.firstToken = now
		set.Observe("first_token/"+class, now.Sub(r.exchange.Arrival))
		r.event("first-token", "", "")
	} else {
		set.Observe("token_interval/"+class, now.Sub(r.lastToken))
	}
	r.lastToken = now
}

// finish ends the answer and counts whether it met both targets of its class.
func (r *run) finish() error {
	class, set := r.request.class, r.service.options.Metrics
	met := r.firstToken.Sub(r.exchange.Arrival) <= class.FirstToken.Std()
	if r.offset > 1 {
		interval := r.lastToken.Sub(r.firstToken) / time.Duration(r.offset-1)
		met = met && interval <= class.TokenInterval.Std()
	}
	set.Add("completions/"+class.Name, 1)
	if met {
		set.Add("targets_met/"+class.Name, 1)
	}
	r.answered()
	return r.sink.finish(r.offset)
}
