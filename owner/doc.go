// Package owner grants prefill work and decode slots of the pools that a node
// owns.
//
// A pool has one owner at a time, chosen by rendezvous hashing over the live
// nodes of its zone, so the owner tracks the occupancy of its engines exactly.
// Its state is not persisted: a new owner rebuilds it from the streams that the
// engines hold and from the grants that the entry nodes, which received the
// requests, report again. Two simultaneous owners may grant more capacity than
// there is; an engine then rejects the excess.
package owner
