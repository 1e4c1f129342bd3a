// Package engineorder brings engines to the role, model version and adapters
// that the configuration specifies, by orders with fencing tokens under a lease
// of their pool.
//
// The lease is acquired only while orders are pending. An engine that checks
// fencing tokens rejects the orders of a previous holder. For any other engine,
// a new holder waits until every order of the previous holder must have ended,
// and each holder checks the remaining time of its lease once the connection to
// the engine is established, immediately before it sends the order.
package engineorder
