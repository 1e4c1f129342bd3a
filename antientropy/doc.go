// Package antientropy keeps the nodes' copies of the store's objects alike. At each interval
// a node compares its copy with that of another one, and both apply what the other has newer.
// A node with news brings what changed to a few nodes of its zone, which do the same in turn (news.go),
// and what it has from the store to one node of each other zone. What news do not reach, comparisons do.
//
// Copies are compared by buckets, and buckets that differ by their parts, so that a difference costs the
// same in a copy of any size. Few nodes of each zone exchange objects with other zones.
//
// Each node has a few partners of its own, which change with time, and compares besides with the
// nodes that hear first from the store. So neither the connections nor the cost of a node
// depend on the size of the fleet while nothing changes, and news reach all nodes in a number
// of rounds that grows with the logarithm of their number.
//
// A comparison is a short call on a connection of its own, and the only call by which a node counts
// as lost (contact.go). Objects are exchanged beside comparisons over another connection
// (exchange.go). An object from 32 KiB on is exchanged by the names of its chunks; a node fetches
// those that it lacks from all nodes that have some (transfers.go), and a node limits what it sends
// of them to a part of its link.
package antientropy
