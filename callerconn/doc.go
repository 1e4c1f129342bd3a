// Package callerconn measures when requests arrive on the connections of callers, how long their responses take to be
// written, and how these end.
//
// An HTTP server calls its handler once it has read the head of a request. Until then the request may have waited: in the
// queue of the listener, in the socket's receive buffer while the process had no processor, behind another request of its
// connection, or for the rest of its own head. To its caller, all of that is time that the request has taken.
//
// The server writes the end of a response after its handler has returned, and tells nobody if it cannot. It closes a connection
// at once after its last response, although the operating system may then discard what the caller has not received; such a
// connection lingers here.
//
// The server reports a request once it has read its head. A bound on connections, or a planned stop, must not close a connection
// whose request has arrived before that: CloseIdle and StopAccepting heed it.
package callerconn
