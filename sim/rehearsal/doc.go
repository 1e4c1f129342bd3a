// Package rehearsal runs a whole fleet inside one process: real nodes, stand-in
// engines, services and platform, joined by package memnet. In a testing/synctest
// bubble it runs in virtual time, so a test of minutes takes seconds and gives
// the same verdict each time.
//
// What cannot be shown here is a process that is paused by its machine; the
// tests with real processes show that.
package rehearsal
