// Package peer carries typed calls between the nodes of a fleet:
// length-delimited protobuf messages on yamux streams over TCP, with mutual TLS
// unless plain text is configured.
//
// A connection to another node is opened on first use and kept. A stream serves
// one call at a time and is reused, so that a call on an established connection
// costs one data frame in each direction.
package peer
