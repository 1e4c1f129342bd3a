// Package engine defines the protocol of model engines and its client.
//
// An engine prefills prompts, keeps each prefill result for a few seconds,
// exports and imports KV cache, decodes, and keeps a decode stream until it has
// ended or is cancelled: a broken connection alone does not end a stream. The
// protocol is HTTP with JSON, and server-sent events for streams.
package engine
