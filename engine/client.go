package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/responsehead"
)

const (
	// maxResponseBytes bounds the body of a response, and maxErrorBytes that of an
	// error response.
	maxResponseBytes = 4 << 20
	maxErrorBytes    = 64 << 10
	// controlTimeout bounds one call other than prefill, decode, resume and order.
	controlTimeout = 2 * time.Second
)

// ErrCallMismatch means that a response belongs to another call.
var ErrCallMismatch = errors.New("engine: response to another call")

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// name distinguishes the identifiers of its calls from those of other clients, and calls numbers them.
	name  string
	calls atomic.Uint64
}

// NewClient returns a client that uses the given transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{http: &http.Client{Transport: transport}, name: uuid.NewString()}
}

// Prefill computes a prompt's KV cache. It returns when the result is ready.
func (c *Client) Prefill(ctx context.Context, address string, request PrefillRequest) (PrefillResult, error) {
	var result PrefillResult
	err := c.call(ctx, http.MethodPost, address, PathPrefill, request, &result)
	return result, err
}

// Decode starts a stream and reads it from the request's offset.
func (c *Client) Decode(ctx context.Context, address string, request DecodeRequest) (*Stream, error) {
	response, err := c.send(ctx, http.MethodPost, address, PathDecode, nil, request) //nolint:bodyclose // Stream.Close does
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, request.Attempt, request.Offset), nil
}

// Resume reads a held stream from the given offset and makes holder its holder.
func (c *Client) Resume(ctx context.Context, address string, attempt Attempt, holder Holder, offset int) (*Stream, error) {
	query := url.Values{
		"offset":      {strconv.Itoa(offset)},
		"node":        {holder.Node},
		"incarnation": {strconv.FormatUint(holder.Incarnation, 10)},
	}
	response, err := c.send(ctx, http.MethodGet, address, PathStreams+"/"+attempt.String(), query, nil) //nolint:bodyclose // Stream.Close does
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, attempt, offset), nil
}

// Cancel ends an attempt at an engine and frees its memory. The engine rejects the
// attempt if it arrives later. Cancel is idempotent.
func (c *Client) Cancel(ctx context.Context, address string, attempt Attempt) error {
	return c.control(ctx, http.MethodPost, address, PathStreams+"/"+attempt.String()+"/cancel", nil)
}

// Streams lists the prefill results and streams that the engine holds.
func (c *Client) Streams(ctx context.Context, address string) ([]StreamStatus, error) {
	var streams []StreamStatus
	err := c.control(ctx, http.MethodGet, address, PathStreams, &streams)
	return streams, err
}

// Ended reports whether the engine's process is known to have terminated: nothing
// listens at its address, so the connection is refused. It is false if that cannot be
// determined before the context ends.
func (c *Client) Ended(ctx context.Context, address string) bool {
	target := url.URL{Scheme: "http", Host: address, Path: PathLoad}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Load returns the engine's load report, which may be some time old.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	err := c.control(ctx, http.MethodGet, address, PathLoad, &load)
	return load, err
}

// CacheEvents returns the prefix-cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.control(ctx, http.MethodGet, address, path, &events)
	return events, err
}

// Order sends an order with a fencing token. The context bounds the time for which
// the order can be in flight. Order calls guard once the connection is established,
// right before the order is written; if guard returns an error, the order is not
// sent.
func (c *Client) Order(ctx context.Context, address string, order Order, guard func() error) error {
	encoded, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	body := &guardedReader{reader: bytes.NewReader(encoded), guard: guard}
	response, err := c.sendBody(ctx, http.MethodPost, address, PathOrders, nil, body)
	if body.guardErr != nil {
		return body.guardErr
	}
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// guardedReader calls its guard before the first byte is read.
type guardedReader struct {
	reader   io.Reader
	guard    func() error
	checked  bool
	guardErr error
}

// Read implements io.Reader.
func (r *guardedReader) Read(buffer []byte) (int, error) {
	if !r.checked {
		r.checked = true
		r.guardErr = r.guard()
	}
	if r.guardErr != nil {
		return 0, r.guardErr
	}
	return r.reader.Read(buffer)
}

func (c *Client) control(ctx context.Context, method, address, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.call(ctx, method, address, path, nil, result)
}

func (c *Client) call(ctx context.Context, method, address, path string, body, result any) error {
	parsed, err := url.Parse(path)
	if err != nil {
		return errors.Wrap(err, "parse path")
	}
	response, err := c.send(ctx, method, address, parsed.Path, parsed.Query(), body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return errors.Wrap(err, "read response")
	}
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	if err := decoder.Decode(result); err != nil {
		return unknownOutcome(err)
	}
	return nil
}

// send encodes the body and calls sendBody.
func (c *Client) send(ctx context.Context, method, address, path string, query url.Values, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		// The wrapper hides the reader's type, so that net/http cannot resend the
		// request automatically.
		reader = struct{ io.Reader }{bytes.NewReader(encoded)}
	}
	return c.sendBody(ctx, method, address, path, query, reader)
}

// sendBody returns the response if its status is 200. Its errors state whether
// the engine may have run the request.
func (c *Client) sendBody(ctx context.Context, method, address, path string, query url.Values, reader io.Reader) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target.String(), reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	callID := c.newCallID()
	request.Header.Set(HeaderCallID, callID)
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			return nil, api.NewError(http.StatusBadGateway, api.CodeBackendFailed, api.OutcomeNotRun, "engine cannot be reached")
		}
		return nil, unknownOutcome(err)
	}
	if err := responsehead.Check(response); err != nil {
		_ = response.Body.Close()
		return nil, unknownOutcome(err)
	}
	if named := response.Header.Get(HeaderCallID); named != callID {
		_ = response.Body.Close()
		return nil, unknownOutcome(errors.Wrapf(ErrCallMismatch, "status %d to call %q", response.StatusCode, named))
	}
	if response.StatusCode != http.StatusOK {
		defer func() { _ = response.Body.Close() }()
		return nil, errorResponse(response)
	}
	return response, nil
}

// newCallID returns an identifier that no other call has.
func (c *Client) newCallID() string { return c.name + "/" + strconv.FormatUint(c.calls.Add(1), 10) }

// unknownOutcome hides the cause, which may contain addresses, from the message to
// the caller but keeps it for logs.
func unknownOutcome(cause error) error {
	apiErr := api.NewError(http.StatusBadGateway, api.CodeBackendFailed, api.OutcomeUnknown, "engine failed during the request")
	return errors.WithSecondaryError(apiErr, cause)
}

func errorResponse(response *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return unknownOutcome(err)
	}
	apiErr := &api.Error{}
	if json.Unmarshal(body, apiErr) != nil || apiErr.Code == "" {
		return unknownOutcome(errors.Newf("status %d", response.StatusCode))
	}
	apiErr.Status = response.StatusCode
	return apiErr
}
