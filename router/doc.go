// Package router assembles a daemon that serves callers by routes: it opens the
// ports, follows the store for the configuration and the back ends, and stops
// without cutting a request off.
//
// What the store's objects look like and how back ends are spoken to comes from
// outside, as a Environment.
package router
