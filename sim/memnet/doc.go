// Package memnet connects the nodes and stand-ins of a rehearsal inside one
// process: net.Conn for peers and http.RoundTripper for HTTP. Links can be
// blocked, which delays bytes without an error, and limited in bandwidth;
// connections can be closed or made to drop their traffic. Everything waits on
// channels, so it runs in virtual time in a testing/synctest bubble.
package memnet
