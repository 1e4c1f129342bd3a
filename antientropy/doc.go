// Package antientropy replicates the store's objects between nodes. At each interval a node compares its
// replica with that of another node, and each applies the objects that are newer at the other. When an object
// changes, a node also pushes the update to a few nodes of its zone, which push it on in turn (push.go).
// It also pushes updates that come from the store to one node of each other zone. Anti-entropy exchanges
// deliver what the pushes miss.
//
// A replica is divided into buckets, and a bucket into parts, by the hash of an object's key. Replicas are
// compared by the digests of their buckets, and buckets that differ by the digests of their parts, so that the
// cost of a difference does not depend on the number of objects. Only a few nodes of each zone, the zone
// relays, exchange objects with other zones.
//
// Each node has a few partners, which change over time, and also compares with the nodes that watch the store.
// So neither the number of connections nor the load of a node depends on the size of the fleet while nothing
// changes, and updates reach all nodes in a number of rounds that grows with the logarithm of their number.
//
// A comparison is a short call on its own connection, and the only call that decides whether a node counts as
// unresponsive (contact.go). Objects are exchanged over another connection, in the background (exchange.go). An
// object of 32 KiB or more is exchanged as a list of chunk IDs; a node fetches the chunks that it lacks from
// all nodes that have some (transfers.go). The bandwidth for sending chunks is limited to a share of the node's
// link.
package antientropy
