package filter

import (
	"net/http"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
)

// Limit bounds the requests in flight of each tenant, so that one tenant cannot
// exhaust a node's memory at the expense of the others, and the size of their
// bodies.
type Limit struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64

	mu       sync.Mutex
	inFlight map[string]int
}

// limitRetryAfter is the Retry-After for a tenant that has MaxConcurrent requests in
// flight.
const limitRetryAfter = 500 * time.Millisecond

// ServeHTTP implements Filter.
func (f *Limit) ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error {
	tenant := ExchangeOf(r).Tenant
	if !f.enter(tenant) {
		return api.NewError(http.StatusTooManyRequests, api.CodeTooMany, api.OutcomeNotRun, "too many requests in flight").WithRetryAfter(limitRetryAfter)
	}
	defer f.leave(tenant)
	if r.ContentLength > f.MaxBodyBytes {
		return api.NewError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, api.OutcomeNotRun, "the body exceeds %d bytes", f.MaxBodyBytes)
	}
	r.Body = http.MaxBytesReader(w, r.Body, f.MaxBodyBytes)
	return next.ServeHTTP(w, r)
}

func (f *Limit) enter(tenant *api.Tenant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight == nil {
		f.inFlight = map[string]int{}
	}
	if f.inFlight[tenant.Name] >= tenant.MaxConcurrent {
		return false
	}
	f.inFlight[tenant.Name]++
	return true
}

func (f *Limit) leave(tenant *api.Tenant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[tenant.Name]--
	if f.inFlight[tenant.Name] == 0 {
		delete(f.inFlight, tenant.Name)
	}
}
