// Package backendhttp sends requests to back ends over HTTP/1.1 and tells whether any byte
// of a request left this node: one that did not has certainly not run.
package backendhttp
