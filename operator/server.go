package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/filter"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/timeline"
)

// Paths of the API.
const (
	PathPlan          = "/v1/plan"
	PathConfirm       = "/v1/confirm"
	PathConfiguration = "/v1/configuration"
	PathStatus        = "/v1/status"
	PathTimeline      = "/v1/timeline"
)

const (
	// maxBodyBytes bounds a request body: an intent or a plan.
	maxBodyBytes = 16 << 20
	// confirmTimeout bounds the calls to the platform during a confirmation.
	confirmTimeout = 8 * time.Second
	// retryAfter is the Retry-After while the platform does not answer.
	retryAfter = 2 * time.Second
	// partitionRetryAfter is the Retry-After while the node is not in contact with
	// half of the fleet.
	partitionRetryAfter = 10 * time.Second
)

// Fleet collects information from all nodes.
type Fleet interface {
	// Status returns the status of every node, as JSON.
	Status(ctx context.Context) []json.RawMessage
	// Timeline returns the selected events of all nodes in order.
	Timeline(ctx context.Context, filter timeline.Filter) []timeline.Event
}

// Options configures a Server.
type Options struct {
	Configuration *configuration.Holder
	Store         objectapi.Store
	Fleet         Fleet
	// SeesHalf is passed to the Acceptor.
	SeesHalf func() bool
	// TokenHash is the hex SHA-256 digest of the operators' token.
	TokenHash string
	// Events receives an event for each accepted change.
	Events *timeline.Ring
}

// Server serves the operators' API.
type Server struct {
	options  Options
	acceptor Acceptor
}

// NewHandler returns the API as an http.Handler.
func NewHandler(options Options) (http.Handler, error) {
	server := &Server{options: options, acceptor: Acceptor{
		Configuration: options.Configuration, Store: options.Store, SeesHalf: options.SeesHalf,
	}}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Use(server.authenticate)
	app.Post(PathPlan, server.plan)
	app.Post(PathConfirm, server.confirm)
	app.Get(PathConfiguration, server.configuration)
	app.Get(PathStatus, server.status)
	app.Get(PathTimeline, server.timeline)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build operator API")
	}
	return app, nil
}

var errToken = api.NewError(http.StatusUnauthorized, api.CodeUnauthenticated, api.OutcomeNotRun, "the operator token is missing or wrong")

// isOperator reports whether a request has the operators' token.
func isOperator(r *http.Request, tokenHash string) bool {
	token, ok := filter.BearerToken(r)
	digest := configuration.HashToken(token)
	return ok && subtle.ConstantTimeCompare([]byte(digest), []byte(tokenHash)) == 1
}

// RequireToken returns a handler that serves only requests with the operators' token.
func RequireToken(tokenHash string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isOperator(r, tokenHash) {
			errToken.WriteHTTP(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) authenticate(ctx iris.Context) {
	if !isOperator(ctx.Request(), s.options.TokenHash) {
		writeError(ctx, errToken)
		return
	}
	ctx.Next()
}

// findingsBody is the response to an invalid intent.
type findingsBody struct {
	Findings api.Findings `json:"findings"`
}

func writeError(ctx iris.Context, err error) {
	var found *FindingsError
	if errors.As(err, &found) {
		writeJSON(ctx, http.StatusUnprocessableEntity, findingsBody{found.Findings})
		return
	}
	api.AsError(err, api.OutcomeUnknown).WriteHTTP(ctx.ResponseWriter())
}

func writeJSON(ctx iris.Context, status int, value any) {
	ctx.StatusCode(status)
	if err := ctx.JSON(value); err != nil {
		ctx.StopWithStatus(http.StatusInternalServerError)
	}
}

func decodeBody(ctx iris.Context, value any) error {
	body := http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return api.NewError(http.StatusBadRequest, api.CodeInvalidRequest, api.OutcomeNotRun, "malformed body: %s", err)
	}
	return nil
}

func (s *Server) plan(ctx iris.Context) {
	var intent Intent
	if err := decodeBody(ctx, &intent); err != nil {
		writeError(ctx, err)
		return
	}
	plan, _, err := MakePlan(s.options.Configuration.Current(), intent)
	if err != nil {
		writeError(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, plan)
}

// Confirmed is the response to an accepted plan.
type Confirmed struct {
	Version uint64 `json:"version"`
}

func (s *Server) confirm(ctx iris.Context) {
	var plan Plan
	if err := decodeBody(ctx, &plan); err != nil {
		writeError(ctx, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx.Request().Context(), confirmTimeout)
	defer cancel()
	head, err := s.acceptor.Accept(callCtx, &plan)
	if err != nil {
		writeError(ctx, apiError(err))
		return
	}
	s.options.Events.Record(timeline.Event{Kind: "configuration-accepted", Detail: plan.Digest})
	writeJSON(ctx, http.StatusOK, Confirmed{Version: head.Version})
}

func (s *Server) configuration(ctx iris.Context) {
	writeJSON(ctx, http.StatusOK, s.options.Configuration.Current().Merged())
}

func (s *Server) status(ctx iris.Context) {
	writeJSON(ctx, http.StatusOK, s.options.Fleet.Status(ctx.Request().Context()))
}

func (s *Server) timeline(ctx iris.Context) {
	query := ctx.Request().URL.Query()
	selection := timeline.Filter{Request: query.Get("request"), Engine: query.Get("engine"), Tenant: query.Get("tenant")}
	writeJSON(ctx, http.StatusOK, s.options.Fleet.Timeline(ctx.Request().Context(), selection))
}
