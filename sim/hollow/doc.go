// Package hollow measures the cost and the reaction times of a fleet of a given
// size. Its nodes run the real membership, configuration, ownership and claim
// code in one process, and are connected by real yamux sessions over in-memory
// connections.
package hollow
