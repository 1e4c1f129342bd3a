// Package router assembles the router daemon: it opens the ports, watches the
// store for the configuration and the backends, exchanges both with other
// nodes, and drains before it stops.
//
// The format of the store's objects and the protocols of backends come from the
// caller, as an Environment.
package router
