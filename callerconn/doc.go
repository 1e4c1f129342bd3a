// Package callerconn measures when requests arrive on the connections of callers, how long their responses take to be
// written, and how these end.
//
// An HTTP server calls its handler once it has read the head of a request. Until then the request may have waited: in the
// queue of the listener, in the socket's receive buffer while the process had no processor, behind another request of its
// connection, or for the rest of its own head. To its caller, all of that is time that the request has taken.
//
// The server writes the end of a response after its handler has returned, and tells nobody if it cannot.
package callerconn
