// Package httpheader reads headers of HTTP messages: it parts those that concern one connection from
// those that are passed on, and decodes when a server wants to be called again.
package httpheader

import (
	"net/http"
	"net/textproto"
	"strings"
)

// connectionHeaders concern one connection and are never passed on (RFC 9110, section
// 7.6.1).
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers without those that concern one connection, also those that
// the Connection header names.
func EndToEnd(header http.Header) http.Header {
	passed := header.Clone()
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			passed.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		passed.Del(name)
	}
	return passed
}
