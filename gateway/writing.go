package gateway

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// writeGrace is how long after the end of its time a response may still be written: one that is ready then is delivered.
const writeGrace = 400 * time.Millisecond

// limitWriting bounds the writes of the response by the time of the request. Without a bound, a caller that does not read holds
// the response, the memory that it takes and its connection for as long as it likes; the end of a context does not end a write.
func (x *exchange) limitWriting() {
	limit := writeGrace
	if !x.deadline.IsZero() {
		limit += max(0, x.left())
	}
	control := http.NewResponseController(x.writer)
	_ = control.SetWriteDeadline(time.Now().Add(limit)) // Fails only if the writer is not that of a connection.
}

// writeFailure returns the failure of a response that could not be written.
func writeFailure(reason Reason, err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return expired(err)
	}
	return unknown(reason, err)
}
