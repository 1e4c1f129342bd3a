// Package operator implements the operators' HTTP API. An operator sends an
// intent and receives a plan; nothing changes until the plan is confirmed.
//
// A plan contains the version that it is based on and a digest. On confirmation
// the node computes the plan again from the newest configuration; if the
// configuration has changed, the response is a conflict that lists the changed
// objects. A change is accepted by the conditional update in package
// configuration, so exactly one of several concurrent confirmations succeeds,
// whichever nodes receive them.
package operator
