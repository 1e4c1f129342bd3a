// Package requestbody bounds the time in which the body of an HTTP request is read.
//
// The load pattern that it answers: callers whose bodies stop arriving, because their links are narrow, lose packets, or are
// shared by many. The end of a context does not end a read, so that each such request would hold its connection, and what has
// been reserved for it, for as long as its caller likes. The server itself reads as well: what a handler leaves of a body is read
// before the response is written.
package requestbody
