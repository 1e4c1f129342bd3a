// Package rehearsal runs a whole fleet inside one process: real nodes, stand-in
// engines, services and platform, connected by package memnet. In a
// testing/synctest bubble it runs in virtual time, so a test of minutes takes
// seconds and gives the same result each time.
//
// It cannot reproduce a pause of a single process; package processtest has the
// tests for that.
package rehearsal
