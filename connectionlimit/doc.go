// Package connectionlimit bounds the connections that an HTTP server keeps open.
//
// The load pattern that it answers: a load balancer hands most new connections to one node for some seconds, and callers
// keep theirs open between requests. Without a bound the node runs out of descriptors: then it can neither accept callers
// nor open connections to backends, to the store or to other nodes, and memory grows with each idle connection.
//
// Beyond the bound, each new connection takes the place of the one that has been idle for longest. Its caller opens another
// one for its next request. If none is idle, the new connection is closed before anything is read from it, so that its caller
// knows that its request has not run, and can try another node at once. A connection whose next request has begun to arrive is not
// idle, even if the server has not reported it yet.
package connectionlimit
