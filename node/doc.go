// Package node assembles one node of the fleet. Core contains the components
// that serve other nodes and needs no listener except the one for peers, so
// that many cores can run in one process; Node adds the listeners for callers
// and operators.
package node
