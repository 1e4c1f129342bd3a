package requestbody

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// LimitTime bounds how long reads of a request's body may take from now on, in place of an earlier bound. A read beyond it fails
// with os.ErrDeadlineExceeded, and so does the server's own reading of the rest. Once the body has been read to its end the bound
// is gone: an HTTP/1 server then waits for the end of the connection, and would take the end of the time for it.
func LimitTime(w http.ResponseWriter, r *http.Request, limit time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return // The writer is not that of a connection.
	}
	if _, limited := r.Body.(*limitedBody); !limited {
		r.Body = &limitedBody{r.Body, control}
	}
}

// limitedBody removes the bound at the end of the body.
type limitedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{}) // The connection has accepted a deadline before.
	}
	return count, err
}
