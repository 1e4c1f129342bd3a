// Package cluster tells which live node owns a key and calls it. Calls to the
// node itself take no detour over the network.
package cluster
