// Package hollow measures what a fleet costs and how fast it reacts at a given
// size. Its nodes run the real membership, configuration, ownership and claim
// code, share one process, and are joined by in-memory connections under real
// yamux sessions.
package hollow
