// Package gateway serves callers' requests by routes: it finds the route of a
// request, picks back ends and sends the request on, byte for byte.
//
// A request to a plain service goes to one back end, and to another one where it
// may run again or has certainly not run. A request to a service of engines has
// memory reserved at a decode engine first, is then read by a prefill engine and
// then answered by the decode engine, so that no prompt is read for nothing.
//
// The gateway decides; how back ends are spoken to is a Dialect's matter.
package gateway
