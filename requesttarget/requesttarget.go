// Package requesttarget takes the path and query of a caller's request as they came, byte for byte, and sends them so. Package
// net/url would escape characters that callers may leave unescaped, and unescape others that a path holds on purpose.
package requesttarget

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrUnsendable means that a target cannot be sent without a change.
var ErrUnsendable = errors.New("requesttarget: the target cannot be sent unchanged")

// Of returns the path and query of a request that a server has read.
func Of(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, authority, isAbsolute := strings.Cut(target, "://")
	if !isAbsolute {
		return r.URL.RequestURI()
	}
	begin := strings.IndexAny(authority, "/?")
	switch {
	case begin < 0:
		return "/"
	case authority[begin] == '?':
		return "/" + authority[begin:]
	default:
		return authority[begin:]
	}
}

// Path returns the path of a target, as it came.
func Path(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// URL returns the URL with which net/http sends a target to an address. The error is ErrUnsendable if it would change the target.
func URL(address, target string) (*url.URL, error) {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, errors.CombineErrors(ErrUnsendable, err)
	}
	parsed.Scheme, parsed.Host = "http", address
	if parsed.RequestURI() == target {
		return parsed, nil
	}
	opaque := &url.URL{Scheme: "http", Host: address, Opaque: target}
	if opaque.RequestURI() != target {
		return nil, errors.Wrapf(ErrUnsendable, "%q", target)
	}
	return opaque, nil
}
