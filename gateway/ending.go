package gateway

import (
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/callerconn"
	"github.com/reelrun/reelrun/logging"
)

// maxLoggedStackBytes bounds the stack of a panic in a log line.
const maxLoggedStackBytes = 4 << 10

// serveRecovered is serve, with a panic as a failure of the request. The server would close the connection, and neither a line
// nor a count would tell.
func (x *exchange) serveRecovered(r *http.Request) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = x.panicked(cause)
			if x.abandon != nil {
				x.abandon()
			}
		}
	}()
	return x.serve(r)
}

// panicked logs a panic and returns the failure of the request.
func (x *exchange) panicked(cause any) error {
	stack := debug.Stack()
	stack = stack[:min(len(stack), maxLoggedStackBytes)]
	x.handler.options.Metrics.Add("handler_panics", 1)
	x.handler.options.Logger.Error("handler panicked", append(x.attributes(x.sinceArrival()), "stack", string(stack))...)
	return unknown(ReasonPanic, errors.Newf("panic: %v", cause))
}

// watchEnd has the end of a response counted and logged if it does not reach the caller.
func (h *Handler) watchEnd(x *exchange) {
	if x.conn == nil {
		return
	}
	x.conn.OnEnd(func(end callerconn.End) {
		if end.Delivered() {
			return
		}
		h.options.Metrics.Add("responses_cut", 1)
		h.counters.change(x, func(counts *RouteCounts) { counts.Cut++ })
		h.options.Logger.Warn("response not delivered", append(x.attributes(x.sinceArrival()), "status", x.status,
			"error", logging.ErrorText(end.Err), "unread_bytes", end.UnreadBytes, "unsent_bytes", end.UnsentBytes)...)
	})
}
