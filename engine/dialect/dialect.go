package dialect

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/backendhttp"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/gateway"
	"github.com/reelrun/reelrun/httpheader"
	"github.com/reelrun/reelrun/requesttarget"
)

// Headers of requests.
const (
	// HeaderRequestID is the caller's identifier of an attempt.
	HeaderRequestID = "Reelrun-Request-Id"
	// HeaderWait is how long the caller waits and, in requests to backends, the time that is left,
	// in milliseconds.
	HeaderWait = "Reelrun-Wait-Ms"
	// HeaderLastEvent is the id of the last event that the caller has received.
	HeaderLastEvent = "Last-Event-Id"
)

// cancelTimeout bounds the call that frees what an engine keeps.
const cancelTimeout = 2 * time.Second

// Options configures a Dialect.
type Options struct {
	// Node identifies this node to engines as the holder of its streams.
	Node string
	// Engines calls the engines.
	Engines *engine.Client
	// Services sends requests to plain services.
	Services *backendhttp.Transport
	// Observe is called with the notices of plain services. Default: they are ignored.
	Observe backend.Observer
}

// Dialect implements the product's own engine protocol. It is safe for concurrent use.
type Dialect struct {
	options Options
	// name is the request identifier of all attempts, so that callers cannot choose the identifiers
	// that engines receive.
	name     string
	attempts atomic.Uint32
}

var _ gateway.Dialect = (*Dialect)(nil)

// New returns a dialect with the given options.
func New(options Options) *Dialect {
	if options.Observe == nil {
		options.Observe = func(backend.Backend, backend.Notice) {}
	}
	return &Dialect{options: options, name: uuid.NewString()}
}

// generationBody is the part of a request's body that the dialect reads.
type generationBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Parse implements gateway.Dialect.
func (d *Dialect) Parse(r *http.Request) (*gateway.Request, error) {
	request := &gateway.Request{
		ID: r.Header.Get(HeaderRequestID), Method: r.Method, Host: r.Host, URI: requesttarget.Of(r),
		Header:     httpheader.EndToEnd(r.Header),
		Generation: gateway.Generation{LastEventID: r.Header.Get(HeaderLastEvent)},
	}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	text := r.Header.Get(HeaderWait)
	if text == "" {
		return request, nil
	}
	wait, err := strconv.Atoi(text)
	if err != nil || wait < 0 {
		return request, errors.Newf("%s: %q is not a number of milliseconds", HeaderWait, text)
	}
	request.Timeout = time.Duration(wait) * time.Millisecond
	return request, nil
}

// Measure implements gateway.Dialect. The sizes are in the body.
func (d *Dialect) Measure(request *gateway.Request) error {
	body, err := parseBody(request)
	if err != nil {
		return err
	}
	if _, err := nextOffset(request.Generation.LastEventID); err != nil {
		return err
	}
	request.Generation.PromptTokens = engine.CountTokens(body.Prompt)
	request.Generation.MaxOutputTokens = body.MaxTokens
	return nil
}

func parseBody(request *gateway.Request) (generationBody, error) {
	var body generationBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return body, errors.Wrap(err, "parse body")
	}
	if body.Prompt == "" || body.MaxTokens < 1 {
		return body, errors.New("body without a prompt or without max_tokens")
	}
	return body, nil
}

// nextOffset returns the offset of the token after an event.
func nextOffset(lastEventID string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	last, err := strconv.Atoi(lastEventID)
	if err != nil || last < 0 {
		return 0, errors.Newf("%s: %q is not an offset", HeaderLastEvent, lastEventID)
	}
	return last + 1, nil
}

// newAttempt returns an attempt with an identifier that no engine has received.
func (d *Dialect) newAttempt() engine.Attempt { return d.attempt(d.attempts.Add(1)) }

func (d *Dialect) holder() engine.Holder { return engine.Holder{Node: d.options.Node} }

// Send implements gateway.Dialect. Plain services do not state that a request has not run.
func (d *Dialect) Send(ctx context.Context, target backend.Backend, request *gateway.Request, left time.Duration) (*gateway.Response, error) {
	outgoing, err := backendhttp.NewRequest(ctx, request.Method, target.Address, request.URI, request.Body)
	if err != nil {
		return nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	outgoing.Host = request.Host
	outgoing.Header = request.Header.Clone()
	outgoing.Header.Set(HeaderRequestID, request.ID)
	outgoing.Header.Set(HeaderWait, strconv.FormatInt(max(0, left.Milliseconds()), 10))
	response, _, err := d.options.Services.Exchange(outgoing, backendhttp.NoIdentifier) //nolint:bodyclose // the reader of the response closes it
	if err != nil {
		return nil, err
	}
	if backoff := httpheader.RetryAfter(response.Header); backoff > 0 && response.StatusCode == http.StatusServiceUnavailable {
		d.options.Observe(target, backend.Notice{Backoff: backoff})
	}
	return &gateway.Response{Status: response.StatusCode, Header: httpheader.EndToEnd(response.Header), Body: response.Body}, nil
}

// StartedAt implements gateway.Dialect. These engines do not state it.
func (d *Dialect) StartedAt(context.Context, backend.Backend) (int64, error) { return 0, nil }

// Reserve implements gateway.Dialect. These engines have no reservations: whether they have
// capacity is known only when they respond to the call.
func (d *Dialect) Reserve(context.Context, backend.Backend, int, time.Duration) (*gateway.Reservation, error) {
	return &gateway.Reservation{}, nil
}

// Release implements gateway.Dialect.
func (d *Dialect) Release(context.Context, backend.Backend, gateway.Reservation) error { return nil }

// Discard implements gateway.Dialect.
func (d *Dialect) Discard(ctx context.Context, target backend.Backend, result gateway.PrefillResult) error {
	prefilled, err := parseHandle(result.Handle)
	if err != nil {
		return err
	}
	return d.options.Engines.Cancel(ctx, target.Address, d.attempt(prefilled.number))
}

// cancel frees what an engine keeps of an attempt. It does not wait.
func (d *Dialect) cancel(ctx context.Context, address string, attempt engine.Attempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	go func() {
		defer cancel()
		// If the call is lost, the engine drops a prefill result after a while, and a
		// stream without a reader is found by the name of its holder.
		_ = d.options.Engines.Cancel(ctx, address, attempt)
	}()
}

func (d *Dialect) attempt(number uint32) engine.Attempt {
	return engine.Attempt{RequestID: d.name, Number: number}
}

// Ended implements gateway.Dialect.
func (d *Dialect) Ended(ctx context.Context, target backend.Backend) bool {
	return d.options.Services.Refuses(ctx, target.Address)
}
