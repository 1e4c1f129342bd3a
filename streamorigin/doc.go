// Package streamorigin records at which backends streams begin. A stream may continue only at the software version that
// began it, and its caller may resume it at any node.
//
// The node that passes on the first event of a stream keeps the record and sends it to two other nodes, of other zones if
// there are any. These are found by rendezvous hashing of the stream's key, so that the nodes share the records evenly, and
// the loss of nodes leaves the others where they are looked for. Records are in memory only: after the loss of all
// nodes that had one, its stream is of unknown origin.
package streamorigin
