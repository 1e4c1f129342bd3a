package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
)

// Handler serves a request.
type Handler interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request) error
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP implements Handler.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) error { return f(w, r) }

// Filter performs one step of handling a request and calls next.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error
}

// Exchange is the state of one request in the chain.
type Exchange struct {
	// RequestID identifies the request in logs, events and at the engines.
	RequestID string
	// Arrival is when the request was accepted.
	Arrival time.Time
	// Snapshot is the configuration that was active when the request was accepted.
	Snapshot *configuration.Snapshot
	// Tenant is set by the authentication filter.
	Tenant *api.Tenant
}

type exchangeKey struct{}

// ExchangeOf returns the exchange that WithExchange attached to the request, or
// nil.
func ExchangeOf(r *http.Request) *Exchange {
	exchange, _ := r.Context().Value(exchangeKey{}).(*Exchange)
	return exchange
}

// WithExchange returns the request with an exchange in its context.
func WithExchange(r *http.Request, exchange *Exchange) *http.Request {
	return r.WithContext(context.WithValue(r.Context(), exchangeKey{}, exchange))
}

// Chain returns an http.Handler that passes requests through the filters, the
// first one outermost, to last.
func Chain(last Handler, filters ...Filter) http.Handler {
	chained := last
	for i := len(filters) - 1; i >= 0; i-- {
		current, next := filters[i], chained
		chained = HandlerFunc(func(w http.ResponseWriter, r *http.Request) error {
			return current.ServeHTTP(w, r, next)
		})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tracked := &responseWriter{ResponseWriter: w}
		err := chained.ServeHTTP(tracked, r)
		if err == nil {
			return
		}
		if tracked.started {
			// The status has been sent; only closing the connection can still
			// signal the failure.
			panic(http.ErrAbortHandler)
		}
		api.AsError(err, api.OutcomeUnknown).WriteHTTP(w)
	})
}

// responseWriter records whether the response has started.
type responseWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.started = true
	return w.ResponseWriter.Write(data)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
