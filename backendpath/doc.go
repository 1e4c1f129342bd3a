// Package backendpath decides by which path a node opens its connections to backends: its own link, or a tunnel through
// another node.
//
// The load pattern that it answers: a node loses its link to some or all backends for seconds, while callers, the store
// and the other nodes still reach it. Its calls hang, or are reset or refused; open connections may live on. Other nodes
// reach the backends, so the node's callers need not be rejected.
//
// Evidence that the node's link is at fault, and not the backend, is a failure of the node's own link to a backend that
// another node reaches. Failures of one address cause tunnels to this address only. If several backends fail in this way
// and the node has opened no connection of its own in the meantime, it counts as cut off, and all new connections are
// tunnelled, so that no caller waits for the next failure. They are tunnelled already while that is not confirmed yet: then
// several connections have failed, and no backend has sent anything since. If no other node reaches the backends either,
// callers are rejected without a wait. While tunnels are used, the node's own link is checked at short intervals.
//
// The package does no I/O: a Tracker is told what has happened, and tells what to check next.
package backendpath
