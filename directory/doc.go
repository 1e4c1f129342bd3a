// Package directory records which node serves each running request that carries an Idempotency-Key, so that a
// repeated request takes over the stream instead of running again.
//
// The directory node of a request is determined by its tenant and key. The directory is soft state: the holders
// report their requests again when the directory node changes.
package directory
