// Package routing is the model of a routed configuration: which host and path lead to which
// service, how requests of a route may be retried, and what the services behind them are. It is
// pure: no I/O and no clock.
package routing
