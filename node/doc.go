// Package node assembles one node of the fleet. Core holds what nodes share
// among themselves and is driven by peers alone, so that many of them can run in
// one process; Node adds the listeners for callers and operators.
package node
