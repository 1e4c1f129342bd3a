package filter

import (
	"net/http"
	"strings"

	"github.com/reelrun/reelrun/api"
)

const bearerPrefix = "Bearer "

// BearerToken returns the token of a request's Authorization header.
func BearerToken(r *http.Request) (string, bool) {
	header := r.Header.Get("Authorization")
	if len(header) <= len(bearerPrefix) || !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return header[len(bearerPrefix):], true
}

// Authenticate identifies the tenant by the bearer token.
type Authenticate struct{}

var errToken = api.NewError(http.StatusUnauthorized, api.CodeUnauthenticated, api.OutcomeNotRun, "the bearer token is missing or unknown")

// ServeHTTP implements Filter.
func (f *Authenticate) ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error {
	token, ok := BearerToken(r)
	if !ok {
		return errToken
	}
	exchange := ExchangeOf(r)
	tenant, ok := exchange.Snapshot.TenantByToken(token)
	if !ok {
		return errToken
	}
	exchange.Tenant = tenant
	return next.ServeHTTP(w, r)
}
