// Package cluster determines which live node owns a key, and calls it. Calls to
// the node itself are handled without the network.
package cluster
