// Package replica holds a node's replica of the store's objects of some kinds.
// The replica is fed by the store and by other nodes, so that a node whose
// calls the store rejects still receives changes.
//
// Replicas are merged by the store's revisions: the highest version of an
// object wins, and a deletion is a version like any other. Merging is therefore
// commutative and idempotent, and the path by which a change arrives does not
// matter.
//
// For anti-entropy exchanges the objects are hashed by kind and name into
// BucketCount buckets, and those of a bucket into PartCount parts. Each bucket
// and part has a digest of the versions in it.
package replica
