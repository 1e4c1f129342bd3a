// Package rehearsal runs a whole fleet inside one process: real nodes, stand-in
// engines, services and platform, connected by package memnet. In a
// testing/synctest bubble it runs in virtual time, so a test of minutes takes
// seconds and gives the same verdict each time.
//
// It cannot reproduce a process that its machine pauses; the tests with real
// processes do.
package rehearsal
