package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/timeline"
)

// clientTimeout bounds one call to the node.
const clientTimeout = 15 * time.Second

// ErrUnreachable reports that the node did not answer.
var ErrUnreachable = errors.New("operator: node cannot be reached")

// Client calls the operators' API of one node.
type Client struct {
	// BaseURL is the scheme and address, such as http://127.0.0.1:7301.
	BaseURL string
	// Token is the operators' token.
	Token string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Plan sends an intent and returns its plan.
func (c *Client) Plan(ctx context.Context, intent Intent) (*Plan, error) {
	plan := &Plan{}
	return plan, c.call(ctx, http.MethodPost, PathPlan, nil, intent, plan)
}

// Confirm confirms a plan.
func (c *Client) Confirm(ctx context.Context, plan *Plan) (Confirmed, error) {
	var confirmed Confirmed
	return confirmed, c.call(ctx, http.MethodPost, PathConfirm, nil, plan, &confirmed)
}

// Configuration returns the active configuration of the node.
func (c *Client) Configuration(ctx context.Context) (*api.Configuration, error) {
	configuration := &api.Configuration{}
	return configuration, c.call(ctx, http.MethodGet, PathConfiguration, nil, nil, configuration)
}

// Status returns the status of every node, as JSON.
func (c *Client) Status(ctx context.Context) ([]json.RawMessage, error) {
	var statuses []json.RawMessage
	return statuses, c.call(ctx, http.MethodGet, PathStatus, nil, nil, &statuses)
}

// Timeline returns the selected events of all nodes in order.
func (c *Client) Timeline(ctx context.Context, filter timeline.Filter) ([]timeline.Event, error) {
	var events []timeline.Event
	query := url.Values{"request": {filter.Request}, "engine": {filter.Engine}, "tenant": {filter.Tenant}}
	return events, c.call(ctx, http.MethodGet, PathTimeline, query, nil, &events)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path+"?"+query.Encode(), reader)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.CombineErrors(ErrUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.CombineErrors(ErrUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, data)
	}
	return errors.Wrap(json.Unmarshal(data, result), "decode response")
}

// responseError decodes the error in a response.
func responseError(status int, data []byte) error {
	var body findingsBody
	if json.Unmarshal(data, &body) == nil && len(body.Findings) > 0 {
		return &FindingsError{body.Findings}
	}
	apiErr := &api.Error{Status: status}
	if json.Unmarshal(data, apiErr) != nil || apiErr.Code == "" {
		return errors.Newf("node responded with HTTP status %d", status)
	}
	return apiErr
}
