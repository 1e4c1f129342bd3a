package service

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/claim"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/httpheader"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/requestbody"
	"github.com/reelrun/reelrun/timeline"
)

const (
	// headerKey is the name of the header with the key of a non-idempotent call.
	headerKey = "Idempotency-Key"
	// maxNonIdempotentBody bounds the body of a non-idempotent call: it is held in memory, because its digest
	// is part of the claim.
	maxNonIdempotentBody = 256 << 10
	// maxAttempts bounds the replicas called for one call.
	maxAttempts = 3
	// retriesPerSecond and retryBurst bound the retries of a node's calls.
	retriesPerSecond = 20
	retryBurst       = 40
	// writeGrace is how long after its timeout the response to a call may still be written.
	writeGrace = 400 * time.Millisecond
	// retryAfter is the retry delay given to a caller if no replica requested one.
	retryAfter = time.Second
)

// Claims makes claims for non-idempotent calls.
type Claims interface {
	Claim(ctx context.Context, key claim.Key, requestID string, bodyDigest []byte) (string, error)
	Withdraw(ctx context.Context, key claim.Key, claimID string) error
}

// Options configures a Handler.
type Options struct {
	Claims    Claims
	Transport http.RoundTripper
	Metrics   *metrics.Set
	Events    *timeline.Ring
	// Leaving reports whether a machine is leaving.
	Leaving func(machine string) bool
	// Now reads the clock. Default time.Now.
	Now func() time.Time
}

// Handler serves /services/{name}/….
type Handler struct {
	options  Options
	balancer *balancer
	retries  *rate.Limiter
}

// NewHandler returns a handler with defaults applied.
func NewHandler(options Options) *Handler {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Handler{
		options: options, balancer: newBalancer(options.Leaving, options.Now),
		retries: rate.NewLimiter(retriesPerSecond, retryBurst),
	}
}

// call is one call in progress.
type call struct {
	exchange *filter.Exchange
	service  *api.Service
	path     string
	request  *http.Request
	// body is set for a call whose body is held in memory.
	body          []byte
	nonIdempotent bool
	key           claim.Key
}

// ServeHTTP implements filter.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) error {
	exchange := filter.ExchangeOf(r)
	name := r.PathValue("name")
	service, ok := exchange.Snapshot.Service(name)
	if !ok || !slices.Contains(exchange.Tenant.Services, name) {
		return api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeNotRun, "no such service")
	}
	started := &call{exchange: exchange, service: service, path: "/" + r.PathValue("path"), request: r}
	started.nonIdempotent = slices.Contains(service.NonIdempotentMethods, r.Method)
	timeout := service.Timeout.Std()
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	// The end of a context ends neither a read from the caller nor a write to it.
	requestbody.LimitTime(w, r, timeout)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeGrace)) // Fails only without a connection.
	if started.nonIdempotent {
		return h.serveNonIdempotent(ctx, w, started)
	}
	return h.attemptReplicas(ctx, w, started)
}

// serveNonIdempotent claims the call and sends it to at most one replica.
func (h *Handler) serveNonIdempotent(ctx context.Context, w http.ResponseWriter, started *call) error {
	if err := started.readNonIdempotent(); err != nil {
		return err
	}
	digest := sha256.Sum256(slices.Concat([]byte(started.request.Method+" "+started.service.Name+started.path+"\n"), started.body))
	claimID, err := h.options.Claims.Claim(ctx, started.key, started.exchange.RequestID, digest[:])
	if err != nil {
		return err
	}
	err = h.attemptReplicas(ctx, w, started)
	if apiErr := api.AsError(err, api.OutcomeUnknown); err != nil && apiErr.Outcome == api.OutcomeNotRun {
		// The key stays usable, since the call certainly did not run.
		if withdrawErr := h.options.Claims.Withdraw(context.WithoutCancel(ctx), started.key, claimID); withdrawErr != nil {
			h.options.Metrics.Add("claim_withdraw_errors", 1)
		}
	}
	return err
}

func (c *call) readNonIdempotent() error {
	key, err := claim.ParseKey(c.exchange.Tenant.Name, c.request.Header.Get(headerKey))
	if err != nil {
		return err
	}
	c.key = key
	body, err := io.ReadAll(io.LimitReader(c.request.Body, maxNonIdempotentBody+1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return api.NewError(http.StatusRequestTimeout, api.CodeInvalidRequest, api.OutcomeNotRun, "the body did not arrive in time")
	}
	if err != nil {
		return api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "the body could not be read")
	}
	if len(body) > maxNonIdempotentBody {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, "the body of this call may have %d bytes", maxNonIdempotentBody)
	}
	c.body = body
	return nil
}

// attemptReplicas sends the call to one replica after the other until one answers, as long as a retry is safe.
func (h *Handler) attemptReplicas(ctx context.Context, w http.ResponseWriter, started *call) error {
	replicas := h.balancer.order(started.service.Backends)
	if len(replicas) == 0 {
		return h.noReplica(started.service.Backends)
	}
	var last error
	for attempts, replica := range replicas {
		if attempts >= maxAttempts || (attempts > 0 && !h.retries.Allow()) {
			break
		}
		err := h.attempt(ctx, w, started, replica)
		if err == nil || !started.canRetry(ctx, err) {
			return err
		}
		last = err
		h.options.Metrics.Add("service_retries", 1)
	}
	return last
}

// noReplica returns the error of a call that no replica can take now. If all are in backoff, the caller should
// retry when the first of them is called again.
func (h *Handler) noReplica(backends []api.Backend) error {
	rejection := api.NewError(http.StatusServiceUnavailable, api.CodeUnavailable, api.OutcomeNotRun, "no replica can take the call")
	return rejection.WithRetryAfter(cmp.Or(h.balancer.shortestBackoff(backends), retryAfter))
}

// errResponseBegun marks the failure of a call whose response has begun: no other response can replace what was sent.
var errResponseBegun = errors.New("service: the response has begun")

// canRetry reports whether another replica may receive the call. A streamed body can be sent only once.
func (c *call) canRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, errResponseBegun) {
		return false
	}
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return false
	}
	if apiErr.Outcome == api.OutcomeNotRun {
		return true
	}
	return !c.nonIdempotent && c.request.ContentLength == 0 && apiErr.Code == api.CodeBackendFailed
}

// attempt sends the call to one replica and copies its response.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, started *call, replica api.Backend) error {
	h.balancer.start(replica)
	h.options.Events.Record(timeline.Event{Kind: "service-call", Request: started.exchange.RequestID, Tenant: started.exchange.Tenant.Name, Engine: replica.Name})
	response, err := h.send(ctx, started, replica)
	h.balancer.end(replica, err != nil && ctx.Err() == nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if backoff := httpheader.RetryAfter(response.Header); backoff > 0 && response.StatusCode == http.StatusServiceUnavailable {
		h.balancer.backOff(replica.Name, backoff)
	}
	maps.Copy(w.Header(), httpheader.EndToEnd(response.Header))
	w.WriteHeader(response.StatusCode)
	control := http.NewResponseController(w)
	if err := copyBody(w, control, response.Body); err != nil {
		cut := api.NewError(http.StatusBadGateway, api.CodeBackendFailed, api.OutcomeUnknown, "the response was cut off")
		return errors.Mark(errors.CombineErrors(cut, err), errResponseBegun)
	}
	return nil
}

func (h *Handler) send(ctx context.Context, started *call, replica api.Backend) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: replica.Address, Path: started.path, RawQuery: started.request.URL.RawQuery}
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), started.request.Method, target.String(), started.reader())
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if started.nonIdempotent {
		outgoing.ContentLength = int64(len(started.body))
	} else {
		outgoing.ContentLength = started.request.ContentLength
	}
	maps.Copy(outgoing.Header, httpheader.EndToEnd(started.request.Header))
	outgoing.Header.Del("Authorization")
	outgoing.Header.Set("Reelrun-Tenant", started.exchange.Tenant.Name)
	response, err := h.options.Transport.RoundTrip(outgoing)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, errors.CombineErrors(api.NewError(http.StatusBadGateway, api.CodeBackendFailed, api.OutcomeUnknown, "the service failed during the call"), err)
	default:
		return nil, errors.CombineErrors(api.NewError(http.StatusServiceUnavailable, api.CodeBackendFailed, api.OutcomeNotRun, "the service cannot be reached").WithRetryAfter(retryAfter), err)
	}
}

// reader returns the body to send. Its type is hidden from net/http, which would otherwise resend a request that
// has an Idempotency-Key when a reused connection breaks.
func (c *call) reader() io.Reader {
	if c.nonIdempotent {
		return struct{ io.Reader }{bytes.NewReader(c.body)}
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	return struct{ io.Reader }{c.request.Body}
}

// copyBody copies and flushes data as it arrives, so that streaming is preserved.
func copyBody(w io.Writer, control *http.ResponseController, body io.Reader) error {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		read, err := body.Read(buffer)
		if read > 0 {
			if _, err := w.Write(buffer[:read]); err != nil {
				return errors.Wrap(err, "write response")
			}
			if err := control.Flush(); err != nil {
				return errors.Wrap(err, "flush response")
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read response")
		}
	}
}
