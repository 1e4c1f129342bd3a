// Package antientropy keeps the nodes' copies of the store's objects alike. At
// each interval a node compares its copy with that of another node, drawn by
// chance, and both take over what the other has newer. A node with news from the
// store does so at once with a few nodes, which do the same in turn.
//
// The cost of a node does not depend on the size of the fleet while nothing
// changes, and news reach all nodes in a number of rounds that grows with the
// logarithm of their number.
package antientropy
