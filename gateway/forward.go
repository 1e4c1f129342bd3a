package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

const (
	// maxSends bounds the sends of one request to plain backends.
	maxSends = 3
	// bufferedResponseBytes is how much of a response is read before its head is passed on, so that another
	// backend can replace a response that breaks off.
	bufferedResponseBytes = 256 << 10
	// nonFinalAttemptShare is the share of the time left after which a backend is replaced by another one, if
	// there is one.
	nonFinalAttemptShare = 0.5
	// noBackendRetryAfter is the Retry-After for a service without backends.
	noBackendRetryAfter = 1000 * time.Millisecond
	// rejectedRetryAfter is the Retry-After of a request that no backend accepted, for example because all
	// were full.
	rejectedRetryAfter = 400 * time.Millisecond
)

// forward sends the request to a plain service.
func (x *exchange) forward(ctx context.Context) error {
	x.admission = x.handler.options.Admission.Admit(x.service, x.route.Objective, x.isClientRetry() || x.quota.AboveUsual)
	if !x.admission.Admitted {
		return notRun(ReasonOverloaded, x.admission.RetryAfter, nil)
	}
	attempted := map[string]bool{}
	entry := x.handler.pick(x.service, backend.RoleNone, exclusions{attempted, x.version})
	if entry == nil {
		return x.allBackingOff(backend.RoleNone, notRun(ReasonNoBackend, noBackendRetryAfter, nil))
	}
	var last attemptResult
	defer func() { last.close() }()
	for {
		if err := contextFailure(ctx); err != nil {
			return err
		}
		if err := x.checkSendable(); err != nil {
			return err
		}
		attempted[entry.Backend().ID] = true
		response, err := x.attempt(ctx, entry, attempted)
		if err == nil {
			return x.relay(response)
		}
		if !errors.Is(err, ErrLimited) || last.err == nil {
			// The response of an earlier backend is kept while only limits keep the request from others.
			last.close()
			last = attemptResult{response, err}
		}
		// The check for another backend comes first. Otherwise the last backend's own response would be
		// dropped, and a retry charged to the budget, although no backend is left to retry at.
		next := x.handler.pick(x.service, backend.RoleNone, exclusions{attempted, x.version})
		if next == nil || !x.mayRetry(last.err) {
			return x.finalResponse(last.response, last.err)
		}
		if !errors.Is(err, ErrLimited) {
			x.handler.logRetry(x, err)
		}
		entry = next
	}
}

// attemptResult is what an attempt has returned that does not end the request.
type attemptResult struct {
	// response is what the backend returned, or nil.
	response *Response
	err      error
}

// close discards the response.
func (r attemptResult) close() {
	if r.response != nil {
		_ = r.response.Body.Close()
	}
}

// finalResponse passes on the last response of a backend, if there is one that the caller may receive, and
// returns the error otherwise.
func (x *exchange) finalResponse(response *Response, err error) error {
	if response == nil {
		return x.allBackingOff(backend.RoleNone, err)
	}
	if response.NotRun || response.Misdirected {
		_ = response.Body.Close()
		return x.allBackingOff(backend.RoleNone, err)
	}
	return x.relay(response)
}

// allBackingOff returns the rejection of a request that has not run if all backends of its service have
// requested backoff from this node, and the given error otherwise. The Retry-After of the rejection is the
// time until the first of the backoffs ends, within the bounds of the policy.
func (x *exchange) allBackingOff(role backend.Role, err error) error {
	wait := x.handler.options.Backends.ServiceBackoff(x.service, role)
	if wait == 0 || x.runs > 0 {
		return err
	}
	return notRun(ReasonBackoff, x.handler.options.Policy.retryAfter(wait), err)
}

// attemptError is why one attempt did not produce a response that ends the request.
type attemptError struct {
	failure *failure
	// arrived is set if the backend may have received the request.
	arrived bool
	// ran is set if the backend may have run the request.
	ran bool
}

// Error implements error.
func (e *attemptError) Error() string { return e.failure.Error() }

// Unwrap returns the failure.
func (e *attemptError) Unwrap() error { return e.failure }

// mayRetry reports whether the request may be sent again after the error.
func (x *exchange) mayRetry(err error) bool {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return false
	}
	if !failed.arrived {
		return true
	}
	if failed.ran && (!x.route.Idempotent() || x.runs >= x.route.MaxAttempts) {
		return false
	}
	if x.arrivals.runs >= maxSends || x.left() <= 0 {
		return false
	}
	return x.maySendRun()
}

// attempt sends the request to one backend. It returns when the response has been buffered, or the first
// bufferedResponseBytes of it; the body yields the whole response in both cases. If the error is not nil, the
// response is what the backend returned, or nil.
func (x *exchange) attempt(ctx context.Context, entry *backend.Entry, attempted map[string]bool) (*Response, error) {
	target := entry.Backend()
	x.target = target.ID
	end := entry.Begin()
	defer end()
	outcome := admission.OutcomeAbandoned
	reportOutcome := x.handler.options.Admission.Begin(x.service, target.ID)
	defer func() { reportOutcome(outcome) }()
	left := x.left()
	if rejection := x.runRejection(nil); rejection != nil {
		return nil, rejection
	}
	sent := time.Now()
	response, err := x.sendBuffered(ctx, target, left, attempted)
	if errors.Is(err, ErrLimited) {
		return nil, &attemptError{failure: notRun(ReasonBackendLimit, rejectedRetryAfter, err)}
	}
	if errors.Is(err, ErrNotSent) {
		outcome = x.failureOutcome(entry, sent)
		entry.RecordFailure()
		return nil, &attemptError{failure: notRun(ReasonBackendFailed, rejectedRetryAfter, err)}
	}
	x.countRun()
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			outcome = x.failureOutcome(entry, sent)
		}
		return nil, x.attemptFailed(ctx, entry, time.Since(sent), err)
	}
	switch {
	case response.Misdirected:
		x.recordMisdirected(entry, response)
		return response, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	case response.NotRun:
		outcome = admission.OutcomeRejected
		entry.MarkFull(fullDuration)
		return response, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	}
	outcome = admission.OutcomeFailed
	x.runs++
	if promisesNotRun(response.Status) {
		// To the caller this status says that nothing has run, which the backend did not state.
		_ = response.Body.Close()
		return nil, &attemptError{failure: unknown(ReasonBackendFailed, errors.Newf("status %d", response.Status)), arrived: true, ran: true}
	}
	if response.Status >= http.StatusInternalServerError {
		entry.RecordFailure()
		return response, &attemptError{failure: unknown(ReasonBackendFailed, nil), arrived: true, ran: true}
	}
	outcome = admission.OutcomeAnswered
	entry.RecordSuccess()
	x.recordAnswered()
	return response, nil
}

// recordVia records through which node a response has come.
func (x *exchange) recordVia(via string) {
	x.via = via
	if via != "" {
		x.handler.options.Metrics.Add("responses_through_other_nodes", 1)
	}
}

// failureOutcome returns the outcome of a request without a response, sent at a time, for the admission plan of all
// nodes.
func (x *exchange) failureOutcome(entry *backend.Entry, sent time.Time) admission.Outcome {
	if !x.handler.options.FailureCounts(entry.Backend(), sent) {
		return admission.OutcomeAbandoned
	}
	return admission.OutcomeFailed
}

// promisesNotRun reports whether a status promises a caller that its request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// recordMisdirected records a response from another incarnation, or from a backend in another role.
func (x *exchange) recordMisdirected(entry *backend.Entry, response *Response) {
	entry.RecordFailure()
	if response.Replaced && x.handler.options.Backends.Remove(entry.Backend().ID) {
		x.handler.options.Logger.Info("back end replaced", "backend", entry.Backend().ID, "request", x.request.ID)
	}
}

// attemptFailed returns the error of an attempt without a complete response. The age is the time since the
// request was sent.
func (x *exchange) attemptFailed(ctx context.Context, entry *backend.Entry, age time.Duration, err error) error {
	x.runs++
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A backend that is unresponsive until the deadline has failed as well.
		entry.RecordFailure()
	}
	if failure := contextFailure(ctx); failure != nil {
		return failure
	}
	x.reportBroken(ctx, entry, brokenRequest{age: age, unresponsive: errors.Is(err, ErrUnresponsive)})
	return &attemptError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// sendBuffered sends the request to a backend and buffers the response. If the backend is unresponsive for too long, the call ends once
// another one can take the request.
func (x *exchange) sendBuffered(
	ctx context.Context, target backend.Backend, left time.Duration, attempted map[string]bool,
) (*Response, error) {
	call, watch := x.watchAttempt(ctx, left, attempted)
	x.abandon = watch.stop
	response, err := x.handler.options.Dialect.Send(call, target, x.request, left)
	if err != nil {
		watch.stop()
		return nil, err
	}
	response.Body = watchedBody{response.Body, watch}
	isWhole, err := buffer(response)
	if hasAlternative := watch.take() != nil; hasAlternative && err == nil && !isWhole {
		_ = response.Body.Close()
		err = ErrUnresponsive
	}
	x.recordVia(response.Via)
	return response, err
}

// alternativeBackend is another backend to which the request may be sent, with the retry budget for it.
type alternativeBackend struct{}

// watchAttempt returns the context of a call to a plain backend. If the request may run at another one, the call ends after a
// share of the time that is left, provided that there is another one then.
func (x *exchange) watchAttempt(
	ctx context.Context, left time.Duration, attempted map[string]bool,
) (context.Context, *failover[alternativeBackend]) {
	if !x.route.Idempotent() || x.runs+1 >= x.route.MaxAttempts || x.arrivals.runs+1 >= maxSends {
		return ctx, nil
	}
	limit := time.Duration(float64(left) * nonFinalAttemptShare)
	return startFailover(ctx, limit, failoverOptions[alternativeBackend]{
		panicked: x.panicked,
		prepare: func(context.Context) (*alternativeBackend, error) {
			other := x.handler.pick(x.service, backend.RoleNone, exclusions{attempted, x.version})
			// The call in progress has not been counted yet.
			if other == nil || !x.maySend(x.arrivals.withRun().withRun()) {
				return nil, errNoAlternative
			}
			return &alternativeBackend{}, nil
		},
	})
}

// watchedBody is the body of a response whose call is watched. Closing it ends the call.
type watchedBody struct {
	io.ReadCloser
	watch *failover[alternativeBackend]
}

// Close implements io.Closer.
func (b watchedBody) Close() error {
	b.watch.stop()
	return b.ReadCloser.Close()
}

// buffer reads the body of a response up to bufferedResponseBytes, and reports whether that is the whole body.
func buffer(response *Response) (isWhole bool, err error) {
	var head bytes.Buffer
	_, err = io.CopyN(&head, response.Body, bufferedResponseBytes)
	if err == nil {
		response.Body = joinedBody{io.MultiReader(&head, response.Body), response.Body}
		return false, nil
	}
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		return false, errors.Wrap(err, "read response")
	}
	response.Body = io.NopCloser(&head)
	return true, nil
}

type joinedBody struct {
	io.Reader
	io.Closer
}

// relay passes a backend's response to the caller.
func (x *exchange) relay(response *Response) error {
	defer func() { _ = response.Body.Close() }()
	x.writeHead(response)
	if _, err := io.Copy(x.writer, response.Body); err != nil {
		return writeFailure(ReasonStreamBroken, err)
	}
	return nil
}

// writeHead passes on the status and headers of a response.
func (x *exchange) writeHead(response *Response) {
	header := x.writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	// net/http would add these headers if they had no entry.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, present := response.Header[name]; !present {
			header[name] = nil
		}
	}
	x.answered = true
	x.status = response.Status
	x.limitWriting()
	x.writer.WriteHeader(response.Status)
}
