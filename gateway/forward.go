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
	// maxSends bounds the arrivals of one request at plain back ends.
	maxSends = 3
	// bufferedAnswerBytes is how much of an answer is read before its head is
	// passed on, so that a broken one can be replaced.
	bufferedAnswerBytes = 256 << 10
	// firstTryShare is the share of the time left that a try may take while
	// another one is possible.
	firstTryShare = 0.5
	// retryNoBackend is when a caller comes back to a service without back ends.
	retryNoBackend = 1000 * time.Millisecond
	// retryShed is when a caller comes back after back ends were full.
	retryShed = 400 * time.Millisecond
)

// forward sends the request to a plain service.
func (x *exchange) forward(ctx context.Context) error {
	x.admission = x.handler.options.Admission.Admit(x.service, x.route.Objective, x.isRetry() || x.quota.AboveUsual)
	if !x.admission.Admitted {
		return notRun(ReasonOverloaded, x.admission.RetryAfter, nil)
	}
	tried := map[string]bool{}
	entry := x.handler.pick(x.service, backend.RoleNone, tried)
	if entry == nil {
		return x.allBackingOff(backend.RoleNone, notRun(ReasonNoBackend, retryNoBackend, nil))
	}
	for {
		if err := ended(ctx); err != nil {
			return err
		}
		if err := x.admissible(); err != nil {
			return err
		}
		tried[entry.Backend().ID] = true
		answer, err := x.try(ctx, entry)
		if err == nil {
			return x.relay(answer)
		}
		// Whether there is another back end comes first: otherwise the last one's own answer would be
		// dropped, and a repeat taken from the budget, for nothing.
		next := x.handler.pick(x.service, backend.RoleNone, tried)
		if next == nil || !x.mayRepeat(err) {
			return x.final(answer, err)
		}
		x.handler.logRetry(x, err)
		if answer != nil {
			_ = answer.Body.Close()
		}
		entry = next
	}
}

// final returns the last answer of a back end, if there is one that the caller
// may have, or the error.
func (x *exchange) final(answer *Answer, err error) error {
	if answer == nil {
		return x.allBackingOff(backend.RoleNone, err)
	}
	if answer.NotRun || answer.Misdirected {
		_ = answer.Body.Close()
		return x.allBackingOff(backend.RoleNone, err)
	}
	return x.relay(answer)
}

// allBackingOff returns the refusal of a request that has not run, where all back ends of its service have
// asked this node for backoff, and otherwise the given error. The caller comes back when the first of them
// wants requests again.
func (x *exchange) allBackingOff(role backend.Role, err error) error {
	wait := x.handler.options.Backends.ServiceBackoff(x.service, role)
	if wait == 0 || x.runs > 0 {
		return err
	}
	return notRun(ReasonBackoff, x.handler.options.Policy.retryAfter(wait), err)
}

// tryError is why one try did not give an answer that ends the request.
type tryError struct {
	failure *failure
	// arrived is set where the back end may have received the request.
	arrived bool
	// ran is set where it may have run.
	ran bool
}

// Error implements error.
func (e *tryError) Error() string { return e.failure.Error() }

// Unwrap returns the failure.
func (e *tryError) Unwrap() error { return e.failure }

// mayRepeat reports whether the request may be sent once more after the error.
func (x *exchange) mayRepeat(err error) bool {
	var failed *tryError
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

// try sends the request to one back end. The answer is whole, or its rest
// follows in its body. With an error, the answer is what the back end said, if
// anything.
func (x *exchange) try(ctx context.Context, entry *backend.Entry) (*Answer, error) {
	target := entry.Backend()
	x.target = target.ID
	end := entry.Begin()
	defer end()
	outcome := admission.OutcomeAbandoned
	counted := x.handler.options.Admission.Begin(x.service, target.ID)
	defer func() { counted(outcome) }()
	left := x.left()
	sendContext := ctx
	if x.route.Idempotent() && x.runs+1 < x.route.MaxAttempts {
		limited, cancel := context.WithTimeout(ctx, time.Duration(float64(left)*firstTryShare))
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
		return nil, &tryError{failure: notRun(ReasonBackendFailed, retryShed, err)}
	}
	x.runArrived()
	if err == nil {
		err = buffer(answer)
	}
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			outcome = admission.OutcomeFailed
		}
		return nil, x.tryFailed(ctx, entry, time.Since(sent), err)
	}
	switch {
	case answer.Misdirected:
		x.misdirected(entry, answer)
		return answer, &tryError{failure: notRun(ReasonBackendRefused, retryShed, nil), arrived: true}
	case answer.NotRun:
		outcome = admission.OutcomeRejected
		entry.MarkFull(fullMemory)
		return answer, &tryError{failure: notRun(ReasonBackendRefused, retryShed, nil), arrived: true}
	}
	outcome = admission.OutcomeFailed
	x.runs++
	if isPromise(answer.Status) {
		// To the caller this status says that nothing has run; the back end did not.
		_ = answer.Body.Close()
		return nil, &tryError{failure: unknown(ReasonBackendFailed, errors.Newf("status %d", answer.Status)), arrived: true, ran: true}
	}
	if answer.Status >= http.StatusInternalServerError {
		entry.RecordFailure()
		return answer, &tryError{failure: unknown(ReasonBackendFailed, nil), arrived: true, ran: true}
	}
	outcome = admission.OutcomeAnswered
	entry.RecordSuccess()
	x.ranToEnd()
	return answer, nil
}

// isPromise reports whether a status promises a caller that its request has not
// run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// misdirected takes note of an answer of another incarnation.
func (x *exchange) misdirected(entry *backend.Entry, answer *Answer) {
	entry.RecordFailure()
	if answer.Replaced && x.handler.options.Backends.Remove(entry.Backend().ID) {
		x.handler.options.Logger.Info("back end replaced", "backend", entry.Backend().ID, "request", x.request.ID)
	}
}

// tryFailed is the error of a try without a whole answer, so long after it was sent.
func (x *exchange) tryFailed(ctx context.Context, entry *backend.Entry, age time.Duration, err error) error {
	x.runs++
	if !errors.Is(ctx.Err(), context.Canceled) {
		// A back end that says nothing until the time is over has failed as well.
		entry.RecordFailure()
	}
	if failure := ended(ctx); failure != nil {
		return failure
	}
	x.brokeOff(ctx, entry, age)
	return &tryError{failure: unknown(ReasonBackendFailed, err), arrived: true, ran: true}
}

// buffer reads the answer's body up to a bound.
func buffer(answer *Answer) error {
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

// relay passes a back end's answer to the caller.
func (x *exchange) relay(answer *Answer) error {
	defer func() { _ = answer.Body.Close() }()
	x.writeHead(answer)
	if _, err := io.Copy(x.writer, answer.Body); err != nil {
		return unknown(ReasonStreamBroken, err)
	}
	return nil
}

// writeHead passes the status and headers of an answer on.
func (x *exchange) writeHead(answer *Answer) {
	header := x.writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	// The server would add these by itself.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, given := answer.Header[name]; !given {
			header[name] = nil
		}
	}
	x.answered = true
	x.status = answer.Status
	x.writer.WriteHeader(answer.Status)
}
