// Package engineorder brings engines to the role, model version and adapters
// that the configuration gives them, by fenced orders under a lease of their
// pool.
//
// The lease is taken only while there is something to order. An engine that
// checks fences is protected by them. For one that does not, a new holder waits
// until every order of the holder before must have ended, and each holder looks
// at what is left of its lease when the connection to the engine stands, right
// before the order is written.
package engineorder
