// Package membership keeps each node's view of the live nodes.
//
// Inside a zone every pair of nodes exchanges heartbeats once an interval, so
// the members of a node's own zone are known at first hand. Between zones only
// a few representatives exchange heartbeats; each sends a digest of its zone,
// and the members are fetched only when the digest has changed. A node's cost
// therefore follows the size of its zone and the number of zones, not the size
// of the fleet.
//
// The platform's machine list and the configured seeds are hints of whom to
// ask. Only an answer makes a node a member.
//
// Table holds the state and takes the time as an argument; Service exchanges
// the heartbeats.
package membership
