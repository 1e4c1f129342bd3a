// Package routing is the model of a routed configuration: which host and path lead to which
// service, how requests of a route may be retried, and which services there are. It performs no I/O
// and reads no clock.
package routing
