// Package quarantine records which requests were in flight at backends that ended, over all nodes and all
// attempts, and quarantines a request once it has ended three backends: it is no longer sent to any.
//
// A request that crashes every backend that runs it is retried by its caller again and again, at any node and
// with a new identifier each time. To a single node, each retry is a new request. What the attempts have in
// common is their content; a Fingerprint identifies it.
package quarantine
