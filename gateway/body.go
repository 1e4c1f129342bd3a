package gateway

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/requestbody"
)

// readBody reads the body of the request, up to the limit of the configuration and within the time of the request.
func (x *exchange) readBody(r *http.Request) error {
	if r.ContentLength == 0 {
		x.bodyRead = true
		return nil
	}
	request := x.request
	requestbody.LimitTime(x.writer, r, x.left())
	limited := http.MaxBytesReader(x.writer, r.Body, x.configuration.Limits.MaxBodyBytes)
	began := x.sinceArrival()
	body, err := io.ReadAll(limited)
	x.timings.body = x.sinceArrival() - began
	request.Body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.bodyRead = true
		return nil
	case errors.As(err, &tooLarge):
		return rejected(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejected(http.StatusRequestTimeout, ReasonBodyIncomplete, err)
	default:
		return rejected(http.StatusBadRequest, ReasonMalformed, err)
	}
}

const (
	// restTimeout is how long a rejection waits for the rest of the body, so that the connection can be kept. The rest of most
	// bodies has arrived with the head.
	restTimeout = 20 * time.Millisecond
	// maxRestBytes bounds what is read of the rest.
	maxRestBytes = 256 << 10
	// drainTimeout is how long the server goes on reading after a rejection that closes the connection. Closing it while bytes
	// arrive would reset it, and the caller could lose the response.
	drainTimeout = 200 * time.Millisecond
)

// settleBody prepares a response of the gateway's own to a request whose body may not have been read. The server would read the
// rest before it writes the response, for as long as the caller takes.
func (x *exchange) settleBody() {
	if x.bodyRead || x.incoming.ContentLength == 0 {
		return
	}
	if x.readRest() {
		return
	}
	// The rest may still come, so that nothing else can be read from the connection.
	x.writer.Header().Set("Connection", "close")
	requestbody.LimitTime(x.writer, x.incoming, drainTimeout)
}

// readRest reads the rest of the body, if it arrives within restTimeout, and reports whether it has.
func (x *exchange) readRest() bool {
	if x.incoming.Header.Get("Expect") != "" {
		return false // Reading would ask the caller to send the body.
	}
	requestbody.LimitTime(x.writer, x.incoming, restTimeout)
	_, err := io.CopyN(io.Discard, x.incoming.Body, maxRestBytes)
	return errors.Is(err, io.EOF)
}
