// Package antientropy keeps the nodes' copies of the store's objects alike. At each interval
// a node compares its copy with that of another one, and both take over what the other has
// newer. A node with news from the store does so at once with a few nodes, which do the same
// in turn.
//
// Each node has a few partners of its own, which change with time, and looks besides at the
// nodes that hear first from the store. So neither the connections nor the cost of a node
// depend on the size of the fleet while nothing changes, and news reach all nodes in a number
// of rounds that grows with the logarithm of their number.
package antientropy
