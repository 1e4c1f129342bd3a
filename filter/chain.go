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

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(w http.ResponseWriter, r *http.Request) error

// ServeHTTP implements Handler.
func (f HandlerFunc) ServeHTTP(w http.ResponseWriter, r *http.Request) error { return f(w, r) }

// Filter does one thing with a request and calls next.
type Filter interface {
	ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error
}

// Exchange is what the chain knows of one request.
type Exchange struct {
	// RequestID names the request in logs, events and at the engines.
	RequestID string
	// Arrival is when the request was accepted.
	Arrival time.Time
	// Snapshot is the configuration in force when it was accepted.
	Snapshot *configuration.Snapshot
	// Tenant is set by the authentication filter.
	Tenant *api.Tenant
}

type exchangeKey struct{}

// ExchangeOf returns the exchange of a request in the chain.
func ExchangeOf(r *http.Request) *Exchange {
	exchange, _ := r.Context().Value(exchangeKey{}).(*Exchange)
	return exchange
}

// WithExchange returns the request with an exchange.
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
			// The status is sent; cutting the connection is the only sign left.
			panic(http.ErrAbortHandler)
		}
		api.AsError(err, api.OutcomeUnknown).WriteHTTP(w)
	})
}

// responseWriter notes whether the response has started.
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
