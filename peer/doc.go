// Package peer carries typed calls between the nodes of one fleet: protobuf
// messages, length-delimited, on yamux streams over TCP, with mutual TLS unless
// plain text is asked for.
//
// A connection to another node is opened on first use and kept. A stream serves
// one call at a time and is used again for the next, so a call in a settled
// fleet costs one data frame in each direction.
package peer
