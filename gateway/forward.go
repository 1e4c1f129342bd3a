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
	// maxSends bounds the calls that run one request at plain backends.
	maxSends = 3
	// bufferedAnswerBytes is how much of an answer is read before its head is passed on, so that another
	// backend can replace an answer that breaks off.
	bufferedAnswerBytes = 256 << 10
	// firstAttemptShare is the share of the time left that an attempt may take while another attempt is
	// possible.
	firstAttemptShare = 0.5
	// noBackendRetryAfter is the Retry-After for a service without backends.
	noBackendRetryAfter = 1000 * time.Millisecond
	// rejectedRetryAfter is the Retry-After once backends were full.
	rejectedRetryAfter = 400 * time.Millisecond
)

// forward sends the request to a plain service.
func (x *exchange) forward(ctx context.Context) error {
	x.admission = x.handler.options.Admission.Admit(x.service, x.route.Objective, x.isClientRetry() || x.quota.AboveUsual)
	if !x.admission.Admitted {
		return notRun(ReasonOverloaded, x.admission.RetryAfter, nil)
	}
	attempted := map[string]bool{}
	entry := x.handler.pick(x.service, backend.RoleNone, attempted)
	if entry == nil {
		return x.allBackingOff(backend.RoleNone, notRun(ReasonNoBackend, noBackendRetryAfter, nil))
	}
	for {
		if err := contextFailure(ctx); err != nil {
			return err
		}
		if err := x.checkSendable(); err != nil {
			return err
		}
		attempted[entry.Backend().ID] = true
		answer, err := x.attempt(ctx, entry)
		if err == nil {
			return x.relay(answer)
		}
		// The check for another backend comes first: otherwise the last one's own answer would be dropped,
		// and a retry charged to the budget, for nothing.
		next := x.handler.pick(x.service, backend.RoleNone, attempted)
		if next == nil || !x.mayRetry(err) {
			return x.finalAnswer(answer, err)
		}
		x.handler.logRetry(x, err)
		if answer != nil {
			_ = answer.Body.Close()
		}
		entry = next
	}
}

// finalAnswer returns the last answer of a backend, if there is one that may be passed to the caller, or
// the error.
func (x *exchange) finalAnswer(answer *Response, err error) error {
	if answer == nil {
		return x.allBackingOff(backend.RoleNone, err)
	}
	if answer.NotRun || answer.Misdirected {
		_ = answer.Body.Close()
		return x.allBackingOff(backend.RoleNone, err)
	}
	return x.relay(answer)
}

// allBackingOff returns the rejection of a request that has not run if all backends of its service have
// requested backoff from this node, and the given error otherwise. The caller is asked to retry when the
// first of the backoffs ends.
func (x *exchange) allBackingOff(role backend.Role, err error) error {
	wait := x.handler.options.Backends.ServiceBackoff(x.service, role)
	if wait == 0 || x.runs > 0 {
		return err
	}
	return notRun(ReasonBackoff, x.handler.options.Policy.retryAfter(wait), err)
}

// attemptError is why one attempt did not give an answer that ends the request.
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

// attempt sends the request to one backend. The answer is buffered whole, or its remainder follows in its
// body. With an error, the answer is the backend's response, if there was one.
func (x *exchange) attempt(ctx context.Context, entry *backend.Entry) (*Response, error) {
	target := entry.Backend()
	x.target = target.ID
	end := entry.Begin()
	defer end()
	outcome := admission.OutcomeAbandoned
	reportOutcome := x.handler.options.Admission.Begin(x.service, target.ID)
	defer func() { reportOutcome(outcome) }()
	left := x.left()
	sendContext := ctx
	if x.route.Idempotent() && x.runs+1 < x.route.MaxAttempts {
		limited, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*firstAttemptShare))
		defer cancel()
		sendContext = limited
	}
	if refused := x.runRefusal(nil); refused != nil {
		return nil, refused
	}
	sent := time.Now()
	answer, err := x.handler.options.Dialect.Send(sendContext, target, x.request, left)
	if errors.Is(err, ErrNotSent) {
		outcome = admission.OutcomeFailed
		entry.RecordFailure()
		return nil, &attemptError{failure: notRun(ReasonBackendFailed, rejectedRetryAfter, err)}
	}
	x.countRun()
	if err == nil {
		err = buffer(answer)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			outcome = admission.OutcomeFailed
		}
		return nil, x.attemptFailed(ctx, entry, time.Since(sent), err)
	}
	switch {
	case answer.Misdirected:
		x.recordMisdirected(entry, answer)
		return answer, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	case answer.NotRun:
		outcome = admission.OutcomeRejected
		entry.MarkFull(fullDuration)
		return answer, &attemptError{failure: notRun(ReasonBackendRejected, rejectedRetryAfter, nil), arrived: true}
	}
	outcome = admission.OutcomeFailed
	x.runs++
	if promisesNotRun(answer.Status) {
		// To the caller this status says that nothing has run, which the backend did not state.
		_ = answer.Body.Close()
		return nil, &attemptError{failure: unknown(ReasonBackendFailed, errors.Newf("status %d", answer.Status)), arrived: true, ran: true}
	}
	if answer.Status >= http.StatusInternalServerError {
		entry.RecordFailure()
		return answer, &attemptError{failure: unknown(ReasonBackendFailed, nil), arrived: true, ran: true}
	}
	outcome = admission.OutcomeAnswered
	entry.RecordSuccess()
	x.recordAnswered()
	return answer, nil
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

// recordMisdirected records an answer from another incarnation or in another role.
func (x *exchange) recordMisdirected(entry *backend.Entry, answer *Response) {
	entry.RecordFailure()
	if answer.Replaced && x.handler.options.Backends.Remove(entry.Backend().ID) {
		x.handler.options.Logger.Info("back end replaced", "backend", entry.Backend().ID, "request", x.request.ID)
	}
}

// attemptFailed returns the error of an attempt without a complete answer, age after it was sent.
func (x *exchange) attemptFailed(ctx context.Context, entry *backend.Entry, age time.Duration, err error) error {
	x.runs++
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A backend that is silent until the deadline has failed as well.
		entry.RecordFailure()
	}
	if failure := contextFailure(ctx); failure != nil {
		return failure
	}
	x.reportBreak(ctx, entry, age)
	return &attemptError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// buffer reads the answer's body up to bufferedAnswerBytes.
func buffer(answer *Response) error {
	var head bytes.Buffer
	_, err := io.CopyN(&head, answer.Body, bufferedAnswerBytes)
	if err == nil {
		answer.Body = joinedBody{io.MultiReader(&head, answer.Body), answer.Body}
		return nil
	}
	_ = answer.Body.Close()
	if !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read answer")
	}
	answer.Body = io.NopCloser(&head)
	return nil
}

type joinedBody struct {
	io.Reader
	io.Closer
}

// relay passes a backend's answer to the caller.
func (x *exchange) relay(answer *Response) error {
	defer func() { _ = answer.Body.Close() }()
	x.writeHead(answer)
	if _, err := io.Copy(x.writer, answer.Body); err != nil {
		return unknown(ReasonStreamBroken, err)
	}
	return nil
}

// writeHead passes on the status and headers of an answer.
func (x *exchange) writeHead(answer *Response) {
	header := x.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	// net/http would add these headers by itself.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := answer.Header[name]; !given {
			header[name] = nil
		}
	}
	x.answered = true
	x.status = answer.Status
	x.writer.WriteHeader(answer.Status)
}
