// Package rebalance decides when an engine of a pool should change its role. It
// reads no clock and does no I/O, so that the router and the emulator run the
// same decisions.
package rebalance
