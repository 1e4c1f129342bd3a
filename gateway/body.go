package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// readBody reads the body of the request, up to the limit of the configuration and within the time of the request.
func (x *exchange) readBody(r *http.Request) error {
	request := x.request
	stop := x.limitReading(x.left())
	limited := http.MaxBytesReader(x.writer, r.Body, x.configuration.Limits.MaxBodyBytes)
	began := x.sinceArrival()
	body, err := io.ReadAll(limited)
	x.timings.body = x.sinceArrival() - began
	request.Body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		stop()
		return nil
	case errors.As(err, &tooLarge):
		return rejected(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The rest of the body may still come, so that nothing else can be read from the connection.
		x.writer.Header().Set("Connection", "close")
		return rejected(http.StatusRequestTimeout, ReasonBodyIncomplete, err)
	default:
		return rejected(http.StatusBadRequest, ReasonMalformed, err)
	}
}

// limitReading bounds how long reads from the caller may take from now on. The function that it returns removes the bound. It has
// to be called once the body has been read: the server then waits for the end of the connection, and would take the end of the
// time for it.
func (x *exchange) limitReading(limit time.Duration) (stop func()) {
	control := http.NewResponseController(x.writer)
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return func() {} // The writer is not that of a connection.
	}
	return func() { _ = control.SetReadDeadline(time.Time{}) } // The connection has accepted a deadline before.
}
