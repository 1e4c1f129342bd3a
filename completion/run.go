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
	// maxAttempts bounds how often a request is started, and thereby what its
	// retries can add to the load of a pool.
	maxAttempts = 3
	// prefillMargin is added to twice the predicted time of a prefill to give the
	// time after which the prefill counts as failed.
	prefillMargin = 5 * time.Second
)

// errTakenOver ends the earlier connection of a request that has arrived again.
var errTakenOver = api.NewError(http.StatusConflict, api.CodeTakenOver, api.OutcomeUnknown, "another connection has taken the request over")

// run is the execution of one request.
type run struct {
	service  *Service
	exchange *filter.Exchange
	request  *parsedRequest
	sink     sink

	// requestID identifies the request at the engines. It is the identifier of the
	// first arrival.
	requestID string
	// attempt is the number of the current attempt.
	attempt uint32
	// excluded are the names of the engines that further attempts must not use.
	excluded []string
	// generated is the text of the tokens before offset. complete is set while
	// generated holds all of these tokens, that is, if this node has received the
	// stream from its first token on.
	generated strings.Builder
	complete  bool
	offset    int
	// delivered is the offset of the first token that the caller has not received.
	delivered int
	// dispatched is set if an engine may have run the request.
	dispatched bool
	// trialCrashes is the number of crashes of the request at which it was last granted a trial; zero if it was not.
	trialCrashes int

	firstToken time.Time
	lastToken  time.Time

	turn turnState
}

func (s *Service) newRun(exchange *filter.Exchange, request *parsedRequest) *run {
	created := &run{
		service: s, exchange: exchange, request: request, requestID: exchange.RequestID,
		complete: true, delivered: request.next,
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

// execute runs the request to its end. When an engine fails, another attempt
// continues from the tokens that this node has received.
func (r *run) execute(ctx context.Context) error {
	defer r.endTrial()
	for attempts := 1; ; attempts++ {
		if err := r.checkQuarantine(ctx); err != nil {
			return err
		}
		err := r.executeAttempt(ctx)
		if err == nil || !r.canRetry(ctx, err) || attempts >= maxAttempts {
			return err
		}
		r.service.options.Metrics.Add("attempt_retries", 1)
		r.event("attempt-retried", "", "")
	}
}

// canRetry reports whether another attempt can succeed. A completion has no effects
// outside the engines, so it may run again; tokens that the caller has received are
// not sent again.
func (r *run) canRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) || errors.Is(err, errTakenOver) {
		return false
	}
	var rejected *rejectedError
	return !errors.As(err, &rejected)
}

// rejectedError is the final rejection of a request, by the owners of the pools or for
// its quarantine. It is not retried.
type rejectedError struct{ cause *api.Error }

// Error implements error.
func (e *rejectedError) Error() string { return e.cause.Error() }

// Unwrap returns the API error.
func (e *rejectedError) Unwrap() error { return e.cause }

func (r *run) executeAttempt(ctx context.Context) error {
	if resumed := r.turn.takeResume(); resumed != nil {
		return r.resumePrevious(ctx, resumed)
	}
	r.attempt++
	heldGrant, err := r.requestGrant(ctx)
	if err != nil {
		return err
	}
	return r.withGrant(ctx, heldGrant)
}

func (r *run) withGrant(ctx context.Context, heldGrant *grant) error {
	result, address, err := r.prefill(ctx, heldGrant)
	if err != nil {
		r.service.grants.release(heldGrant, -1, r.failedEngine(ctx, err, heldGrant.prefillEngine()))
		return err
	}
	if r.remaining() <= 1 {
		err := r.deliver(r.offset, result.Text)
		r.service.grants.release(heldGrant, 1, "")
		if err != nil {
			return err
		}
		return r.finish()
	}
	return r.decode(ctx, heldGrant, result, address)
}

// remaining returns the number of tokens left to generate.
func (r *run) remaining() int { return r.request.maxTokens - r.offset }

// failedEngine returns the name of an engine whose own failure ended an attempt; it
// is empty if the attempt ended for another reason. Unless the request was
// cancelled, the engine is excluded from the request's further attempts.
func (r *run) failedEngine(ctx context.Context, err error, name string) string {
	if ctx.Err() != nil {
		return ""
	}
	r.excluded = append(r.excluded, name)
	if api.IsCode(err, api.CodeNoCapacity) || api.IsCode(err, api.CodeCancelled) {
		return ""
	}
	if api.AsError(err, api.OutcomeUnknown).Outcome != api.OutcomeNotRun {
		r.recordEngineFailure(ctx, name)
	}
	return name
}

// requestGrant requests a grant from the owners of the model's pools in turn, those
// of the node's own zone first, until one grants.
func (r *run) requestGrant(ctx context.Context) (*grant, error) {
	var final error = errNoPool
	for _, pool := range r.pools(r.service.options.Cluster.Self().Zone) {
		heldGrant, err := r.requestPoolGrant(ctx, pool)
		if err == nil {
			r.event("granted", heldGrant.prefillEngine(), pool.Name)
			return heldGrant, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		final = earlierRetry(final, err)
	}
	r.event("refused", "", "")
	return nil, &rejectedError{cause: api.AsError(final, api.OutcomeNotRun).WithOutcome(r.outcome())}
}

var errNoPool = api.NewError(http.StatusServiceUnavailable, api.CodeNoCapacity, api.OutcomeNotRun, "no pool can take the request").WithRetryAfter(time.Second)

// earlierRetry returns the rejection after which the caller may retry first.
func earlierRetry(a, b error) error {
	if errors.Is(a, errNoPool) {
		return b
	}
	errorA, errorB := api.AsError(a, api.OutcomeNotRun), api.AsError(b, api.OutcomeNotRun)
	if errorB.RetryAfter > 0 && (errorA.RetryAfter == 0 || errorB.RetryAfter < errorA.RetryAfter) {
		return errorB
	}
	return errorA
}

// pools returns the pools of the request's model, those of the zone first, in the
// configuration that was active when the request arrived.
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

// ownerMoveRetries is how often a grant is requested again because the owner of the
// pool has changed.
const ownerMoveRetries = 2

func (r *run) requestPoolGrant(ctx context.Context, pool *api.Pool) (*grant, error) {
	var err error
	for range ownerMoveRetries + 1 {
		var heldGrant *grant
		heldGrant, err = r.service.grants.requestGrant(ctx, pool, r.grantRequest())
		if err == nil {
			return heldGrant, nil
		}
		if !mayRequestAgain(err) || ctx.Err() != nil {
			return nil, err
		}
		r.attempt++
	}
	return nil, err
}

// mayRequestAgain reports whether the owner has changed or has not answered.
func mayRequestAgain(err error) bool {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return true
	}
	return apiErr.Code == api.CodeUnavailable && apiErr.RetryAfter == 0
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
		// A request whose caller has received tokens continues however late it is.
		LateAllowed: class.LateAllowed || r.delivered > 0, Priority: int32(class.Priority),
		Prefixes: engine.BlockHashes(tenant.Name, class.Model, r.request.prompt), ExcludedEngines: r.excluded,
	}
}

// engineOf returns an engine of the configuration that was active when the request
// arrived.
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

func (r *run) prefill(ctx context.Context, heldGrant *grant) (engine.PrefillResult, string, error) {
	name := heldGrant.prefillEngine()
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

// seed returns the sampling seed, which is the same for all attempts, and for all
// arrivals of a request with a key.
func (r *run) seed() uint64 {
	if r.request.key != "" {
		return xxhash.Sum64String(runKey(r.exchange.Tenant.Name, r.request.key))
	}
	return xxhash.Sum64String(r.requestID)
}

// deliver sends a token to the caller unless the caller has received it already.
func (r *run) deliver(offset int, text string) error {
	r.offset = offset + 1
	if r.complete {
		r.generated.WriteString(text)
	}
	r.observe()
	if offset < r.delivered {
		return nil
	}
	if err := r.sink.token(offset, text); err != nil {
		return err
	}
	r.delivered = offset + 1
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

// finish ends the response and counts whether it met both targets of its class.
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
	r.recordAnswered()
	return r.sink.finish(r.offset)
}
