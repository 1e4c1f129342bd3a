// Package gateway serves callers' requests by routes: it matches the route of a
// request, picks backends and proxies the request to them, byte for byte.
//
// A request to a plain service is sent to one backend, and to another one if it
// may run again or has certainly not run. For a request to a service of engines,
// the gateway first reserves memory at a decode engine, then has a prefill engine
// prefill the prompt, and then has the decode engine generate the output, so that
// no prefill is wasted.
//
// The gateway decides where and when to send; a Dialect implements the protocol
// spoken with the backends.
package gateway
