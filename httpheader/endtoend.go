// Package httpheader processes headers of HTTP messages: it removes hop-by-hop headers and parses
// Retry-After.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders concern one connection and are never forwarded (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers without the hop-by-hop ones, including those that the Connection
// header names.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		passed.Del(name)
	}
	return passed
}
