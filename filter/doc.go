// Package filter is the chain that every caller's request passes: each filter
// does one thing and calls the next, and the last handler serves the request. A
// filter ends a request by returning an error, which the chain writes as typed
// JSON unless a byte of the response has been written.
package filter
