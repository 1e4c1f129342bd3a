// Package filter is the chain of filters that every caller's request passes: each
// filter performs one step and calls the next, and the last handler serves the
// request. A filter ends a request by returning an error, which the chain writes as
// typed JSON unless a byte of the response has been written.
package filter
