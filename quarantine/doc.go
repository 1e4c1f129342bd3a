// Package quarantine remembers which requests were under way at back ends that ended, over all
// nodes and all attempts, and keeps a request from the back ends once it has ended three.
//
// A request that crashes whatever runs it comes again and again, at any node and under a new
// identifier each time. To each node alone, each return is a new request. What the attempts have in
// common is their content; a Fingerprint names it.
package quarantine
