// Package rolechange follows the load of the pools that the node owns and says when
// an engine should change its role.
//
// What it says is advice: it appears in the node's status and on the time line, and
// an operator carries it out by a plan. Where the operators have confirmed the
// standing policy "apply" in a pool's settings, the controller makes the same plan
// and confirms it itself. Either way the change goes through the platform by a
// conditional update, so that of two owners, or an owner and an operator, one wins.
package rolechange
