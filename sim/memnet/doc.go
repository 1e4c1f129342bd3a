// Package memnet connects the nodes and stand-ins of a rehearsal inside one
// process: net.Conn for peers and http.RoundTripper for HTTP. Links can be
// blocked, which holds bytes back as a black hole does, cut, and bounded in bandwidth. Everything waits
// on channels, so it runs in virtual time in a testing/synctest bubble.
package memnet
