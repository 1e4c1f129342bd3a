// Package directory remembers which node serves each running request that
// carries an Idempotency-Key, so that a second arrival takes the stream over
// instead of running the request again.
//
// A request's directory node follows from its tenant and key. The directory is
// soft state: the holders report again when the directory node changes.
package directory
