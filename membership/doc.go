// Package membership maintains each node's view of the live nodes.
//
// Inside a zone every pair of nodes exchanges one heartbeat per interval, so
// that a node knows the members of its own zone directly. Between zones only a
// few representatives exchange heartbeats; each sends a digest of its zone, and
// the members are fetched only when the digest has changed. The cost of a node
// therefore depends on the size of its zone and the number of zones, not on the
// size of the fleet.
//
// The platform's machine list and the configured seeds only provide addresses to
// contact. A node becomes a member once it answers.
//
// Table holds the state and receives the time as an argument; Service exchanges
// the heartbeats.
package membership
