// Package quarantine records which requests were in flight at backends that ended, over all nodes and all
// attempts, and keeps requests from all backends that have ended several of them.
//
// A request that crashes every backend that runs it is retried by its caller again and again, at any node and
// with a new identifier each time. To a single node, each retry is a new request. What the attempts have in
// common is their content; a Fingerprint identifies it. It is quarantined once it has ended three backends.
//
// Requests of which no two are alike may share a part of their prompts that crashes backends, and share the other
// parts with requests that do not. A part that a backend has answered, for the same tenant and of late, is not the cause. Of
// the others, the ones are blamed that explain most crashes and were in the fewest requests (see blame). All
// nodes are asked for answers before requests with these parts are quarantined.
package quarantine
