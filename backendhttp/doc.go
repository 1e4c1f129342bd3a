// Package backendhttp sends requests to backends over HTTP/1.1 and determines whether any byte of a
// request left this node: a request that did not leave has certainly not run.
package backendhttp
