package responsehead

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that the bytes that a backend has sent are no HTTP response.
var ErrMalformed = errors.New("responsehead: not an HTTP response")

const (
	// minStatus and maxStatus bound the statuses of final responses (RFC 9110, section 15).
	minStatus = 200
	maxStatus = 599
)

// Check returns an error marked by ErrMalformed if the head of a response is not that of a final HTTP/1 response. One that was not read from
// a connection may name no version.
func Check(response *http.Response) error {
	if response.Proto != "" && response.ProtoMajor != 1 {
		return errors.Wrapf(ErrMalformed, "version %q", response.Proto)
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %q", response.Status)
	}
	for name := range response.Header {
		if !isToken(name) {
			return errors.Wrapf(ErrMalformed, "field %q", name)
		}
	}
	return nil
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2), as the name of a field must be.
func isToken(text string) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return text != ""
}

// isTokenByte reports whether a byte may stand in a token.
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}
