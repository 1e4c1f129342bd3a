// Package rolechange monitors the load of the pools that the node owns and advises
// when an engine should change its role.
//
// The advice appears in the node's status and in the timeline, and an operator applies
// it by a plan. If the operators have confirmed the policy "apply" in a pool's settings,
// the controller makes and confirms the same plan itself. Either way the change is a
// conditional update at the platform, so that only one of two concurrent changes, by two
// owners or by an owner and an operator, succeeds.
package rolechange
