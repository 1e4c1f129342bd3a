// Package dialect lets the gateway serve routes with engines that use this project's own
// engine protocol. It is the second implementation of gateway.Dialect, besides the one for
// the users' platform.
//
// A caller sends the body of the completions API (model, prompt, max_tokens) on a stream
// route and receives server-sent events with the tokens' text, whose ids are the offsets of
// the tokens. These engines have no reservations: they reject a call that does not fit, and
// keep streams until they are cancelled.
package dialect
