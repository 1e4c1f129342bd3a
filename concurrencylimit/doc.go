// Package concurrencylimit bounds the requests that a node has in progress by what its machine can do.
//
// The load pattern that it answers: a load balancer sends most new connections to one node for some seconds, and the node has a fraction
// of a processor and a narrow link. Each request that it reads beyond what these can do delays all others, and after some
// seconds none is answered in time. What the machine can do is not known in advance: it shares its processor with others, and
// requests cost more or less.
//
// Therefore the limit follows two delays that the node observes itself while requests are in progress: how late short timers fire, which is how long
// whatever is ready to run waits for the processor, and how long bytes sent to callers remain unacknowledged, which is how
// long bytes wait for the link. A queue that never becomes empty for a while shows in the smallest delay of that time; a burst, a
// pause of the processor or a single slow caller does not. The limit shrinks while there is such a queue, and grows while
// there is none and requests are turned away.
//
// A request beyond the limit is not read. Its connection is closed at once, so that its caller knows that it has not run and can
// try another node. Nothing waits here: the time for which a request would wait is better spent at another node.
//
// Work for other nodes is not limited. It needs little, and the delays are kept far below what its calls wait for.
package concurrencylimit
