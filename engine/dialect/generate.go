package dialect

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/gateway"
)

// minPrefillOnlyTokens is the smallest MaxTokens for which a prefill engine only prefills the
// prompt; if MaxTokens is one, it answers the request without a decode engine.
const minPrefillOnlyTokens = 2

// handle identifies a prefilled prompt: the number of its attempt and the engine's result.
type handle struct {
	number uint32
	result string
}

func (h handle) String() string { return strconv.FormatUint(uint64(h.number), 10) + "/" + h.result }

func parseHandle(text string) (handle, error) {
	number, result, found := strings.Cut(text, "/")
	parsed, err := strconv.ParseUint(number, 10, 32)
	if err != nil || !found {
		return handle{}, errors.Newf("%q is not a handle of a prefill result", text)
	}
	return handle{uint32(parsed), result}, nil
}

// Prefill implements gateway.Dialect.
func (d *Dialect) Prefill(ctx context.Context, target backend.Backend, request *gateway.Request, left time.Duration) (*gateway.PrefillResult, *gateway.Response, error) {
	body, err := parseBody(request)
	if err != nil {
		return nil, nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	attempt := d.newAttempt()
	limited, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	result, err := d.options.Engines.Prefill(limited, target.Address, engine.PrefillRequest{
		Attempt: attempt, Holder: d.holder(), Model: body.Model, Salt: request.Host, Prompt: body.Prompt,
		MaxTokens: max(minPrefillOnlyTokens, body.MaxTokens),
		// All attempts have the same seed, so that each generates the same output and can continue
		// that of an earlier one.
		Seed: xxhash.Sum64String(request.Host + "\x00" + request.ID),
	})
	if err == nil {
		return &gateway.PrefillResult{Address: target.Address, Handle: handle{attempt.Number, result.ResultID}.String()}, nil, nil
	}
	rejection, err := rejectionOf(err)
	if rejection == nil && !errors.Is(err, gateway.ErrNotSent) {
		d.cancel(ctx, target.Address, attempt)
	}
	return nil, rejection, err
}

// rejectionOf returns the response of an engine that has rejected a call, or the error of
// a call that failed otherwise.
func rejectionOf(err error) (*gateway.Response, error) {
	var apiErr *api.Error
	switch {
	case !errors.As(err, &apiErr):
		return nil, err
	case apiErr.Outcome != api.OutcomeNotRun:
		return nil, err
	case apiErr.Code == api.CodeBackendFailed && apiErr.Status == http.StatusBadGateway:
		return nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	return &gateway.Response{Status: apiErr.Status, NotRun: true, Body: http.NoBody}, nil
}

// Decode implements gateway.Dialect. To resume after an event, the whole output is generated
// again with the same seed, and the tokens that the caller has are omitted.
func (d *Dialect) Decode(ctx context.Context, target backend.Backend, request *gateway.Request, _ time.Duration, options gateway.DecodeOptions) (*gateway.Response, error) {
	body, err := parseBody(request)
	if err != nil {
		return nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	next, err := nextOffset(options.LastEventID)
	if err != nil {
		return nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	if options.Prefill == nil {
		return nil, errors.CombineErrors(gateway.ErrNotSent, errors.New("decode without a prefill result"))
	}
	prefilled, err := parseHandle(options.Prefill.Handle)
	if err != nil {
		return nil, errors.CombineErrors(gateway.ErrNotSent, err)
	}
	attempt := d.attempt(prefilled.number)
	stream, err := d.options.Engines.Decode(ctx, target.Address, engine.DecodeRequest{
		Attempt: attempt, Holder: d.holder(), SourceAddress: options.Prefill.Address, ResultID: prefilled.result,
		Model: body.Model, MaxTokens: body.MaxTokens,
	})
	if err != nil {
		rejection, err := rejectionOf(err)
		if rejection == nil && !errors.Is(err, gateway.ErrNotSent) {
			d.cancel(ctx, target.Address, attempt)
		}
		return rejection, err
	}
	header := http.Header{"Content-Type": {"text/event-stream"}, http.CanonicalHeaderKey(HeaderRequestID): {request.ID}}
	return &gateway.Response{Status: http.StatusOK, Header: header, Body: &eventBody{stream: stream, next: next, release: func(complete bool) {
		d.cancel(ctx, options.Prefill.Address, attempt)
		if !complete {
			d.cancel(ctx, target.Address, attempt)
		}
	}}}, nil
}
