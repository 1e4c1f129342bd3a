// Package replica keeps a node's copy of the store's objects of some kinds. The
// copy is fed by the store and by other nodes, so that a node which the store
// turns away still learns what changes.
//
// Copies are merged by the store's revisions: the highest version of an object
// wins, and a deletion is a version like any other. Merging is therefore
// commutative and idempotent, and it does not matter which way a change came.
package replica
