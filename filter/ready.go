package filter

import (
	"net/http"
	"time"

	"github.com/reelrun/reelrun/api"
)

// Ready rejects requests while the node must not accept new work: before it has a
// configuration, and while it is disconnected from both its peers and the platform.
type Ready struct {
	// Accepts reports whether the node accepts new work.
	Accepts func() bool
}

// ServeHTTP implements Filter.
func (f *Ready) ServeHTTP(w http.ResponseWriter, r *http.Request, next Handler) error {
	if !f.Accepts() {
		return api.NewError(http.StatusServiceUnavailable, api.CodeNotReady, api.OutcomeNotRun, "this node takes no new work").WithRetryAfter(time.Second)
	}
	return next.ServeHTTP(w, r)
}
