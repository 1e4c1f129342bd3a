package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/completion"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/sim/answer"
	"github.com/reelrun/reelrun/sim/servicesim"
)

const (
	// maxAttempts bounds the attempts of a caller for one request.
	maxAttempts = 8
	// retryPause is the time between two attempts.
	retryPause = 300 * time.Millisecond
	// attemptTimeout bounds one attempt.
	attemptTimeout = 30 * time.Second
	// maxResponseBytes bounds a response that is not streamed.
	maxResponseBytes = 4 << 20
)

// caller sends one request, with client retries until it has a final response.
type caller struct {
	client *http.Client
	// nodes are the addresses or URLs of nodes; the attempts use them in turn.
	nodes  []string
	kind   *Kind
	prompt string
	tokens int
	body   string
	key    string

	started time.Time
	// first and last are when the first and the last token arrived.
	first    time.Time
	last     time.Time
	received strings.Builder
	// next is the offset of the next expected token.
	next   int
	result Result
}

// errRetry marks a failure after which the caller retries.
var errRetry = errors.New("load: no final response")

func (c *caller) run(ctx context.Context) Result {
	c.started = time.Now()
	c.result = Result{Kind: c.kind, Key: c.key, Ending: EndingLost}
	for attempt := range maxAttempts {
		c.result.Attempts++
		err := c.attempt(ctx, c.nodes[attempt%len(c.nodes)])
		if err == nil {
			return c.result
		}
		c.result.Detail = err.Error()
		if ctx.Err() != nil {
			break
		}
		time.Sleep(retryPause)
	}
	return c.result
}

func (c *caller) attempt(ctx context.Context, node string) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := c.request(ctx, node)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrapf(errRetry, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	c.result.RequestIDs = append(c.result.RequestIDs, response.Header.Get(filter.HeaderRequestID))
	switch {
	case response.StatusCode != http.StatusOK:
		return c.readError(response)
	case c.kind.Service != "":
		return c.readEcho(response.Body)
	case c.kind.Stream:
		return c.readStream(response.Body)
	default:
		return c.readCompletion(response.Body)
	}
}

func (c *caller) request(ctx context.Context, node string) (*http.Request, error) {
	if c.kind.Service != "" {
		return c.serviceRequest(ctx, node)
	}
	body, err := json.Marshal(completion.Body{Model: c.kind.Model, Prompt: c.prompt, MaxTokens: c.tokens, Stream: c.kind.Stream})
	if err != nil {
		return nil, errors.Wrap(err, "encode body")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL(node)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	c.setHeaders(request)
	request.Header.Set(completion.HeaderClass, c.kind.Class)
	if c.next > 0 {
		request.Header.Set(completion.HeaderLastEvent, strconv.Itoa(c.next-1))
	}
	return request, nil
}

func (c *caller) serviceRequest(ctx context.Context, node string) (*http.Request, error) {
	target := baseURL(node) + "/services/" + c.kind.Service + c.kind.Path
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	request, err := http.NewRequestWithContext(ctx, c.kind.Method, target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	c.setHeaders(request)
	return request, nil
}

// baseURL returns the URL of a node, which is given as an address or a URL.
func baseURL(node string) string {
	if strings.Contains(node, "://") {
		return node
	}
	return "http://" + node
}

func (c *caller) setHeaders(request *http.Request) {
	request.Header.Set("Authorization", "Bearer "+c.kind.Token)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(completion.HeaderKey, c.key)
	// Every attempt opens a connection: a disconnected caller does not reuse an
	// old one, and net/http, which may retry a call on a reused connection, must not
	// retry any.
	request.Close = true
}

// readError reads a typed error. A request whose outcome the error leaves open is
// retried under the same key, unless the key has already been claimed or has expired.
func (c *caller) readError(response *http.Response) error {
	failure := &api.Error{Status: response.StatusCode}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(errRetry, "%v", err)
	}
	if json.Unmarshal(data, failure) != nil || failure.Code == "" {
		return errors.Wrapf(errRetry, "status %d without a typed error", response.StatusCode)
	}
	return c.fail(failure)
}

func (c *caller) fail(failure *api.Error) error {
	final := failure.Code == api.CodeAlreadyClaimed || failure.Code == api.CodeKeyExpired
	starting := failure.Code == api.CodeNotReady || failure.Code == api.CodeUnavailable
	if !final && (failure.Outcome != api.OutcomeNotRun || starting) {
		return errors.Wrapf(errRetry, "%s", failure)
	}
	c.result.Ending, c.result.Failure = EndingRejected, failure
	return nil
}

func (c *caller) readEcho(body io.Reader) error {
	var echo servicesim.Echo
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&echo); err != nil {
		return errors.Wrapf(errRetry, "%v", err)
	}
	c.result.FirstToken = time.Since(c.started)
	c.result.Ending = EndingAnswered
	if echo.Service == "" || echo.Body != c.body || echo.Path != c.kind.Path {
		c.result.Ending = EndingAltered
	}
	return nil
}

func (c *caller) readCompletion(body io.Reader) error {
	var response struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&response); err != nil {
		return errors.Wrapf(errRetry, "%v", err)
	}
	if len(response.Choices) != 1 {
		return errors.Wrap(errRetry, "response without a choice")
	}
	now := time.Now()
	c.first, c.last = now, now
	c.received.WriteString(response.Choices[0].Text)
	c.next = c.tokens
	c.evaluate()
	return nil
}

func (c *caller) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return errors.Wrapf(errRetry, "%v", err)
		}
		if event.Type == "error" {
			failure := &api.Error{}
			if json.Unmarshal([]byte(event.Data), failure) == nil && failure.Code != "" {
				return c.fail(failure.WithOutcome(api.OutcomeUnknown))
			}
			return errRetry
		}
		if event.Data == "[DONE]" {
			c.evaluate()
			return nil
		}
		if err := c.readToken(event); err != nil {
			return err
		}
	}
	return errors.Wrap(errRetry, "stream ended early")
}

// readToken reads the event of one token.
func (c *caller) readToken(event sse.Event) error {
	offset, err := strconv.Atoi(event.LastEventID)
	if err != nil {
		return errors.Wrapf(errRetry, "%v", err)
	}
	if offset < c.next {
		c.result.DuplicateTokens++
		return nil
	}
	if offset > c.next {
		return errors.Wrapf(errRetry, "gap before token %d", offset)
	}
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return errors.Wrap(errRetry, "malformed chunk")
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	}
	c.last = now
	c.next++
	c.received.WriteString(chunk.Choices[0].Text)
	return nil
}

// evaluate compares the received text with the expected output.
func (c *caller) evaluate() {
	c.result.Ending = EndingAnswered
	if c.received.String() != answer.Text(c.kind.Model, c.prompt, c.tokens) {
		c.result.Ending = EndingAltered
	}
	c.result.FirstToken = c.first.Sub(c.started)
	if c.next > 1 && c.kind.Stream {
		c.result.Interval = c.last.Sub(c.first) / time.Duration(c.next-1)
	}
}

// newKey returns a new Idempotency-Key, a UUIDv7.
func newKey() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), errors.Wrap(err, "generate key")
}
