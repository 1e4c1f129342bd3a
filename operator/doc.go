// Package operator is the operators' HTTP API. An operator states an intent and
// receives a plan; nothing changes until the plan is confirmed.
//
// A plan names the version it starts from and carries a digest. The node that
// confirms computes the plan again from the newest configuration; if anything
// moved, the answer is a conflict that names it. The point of acceptance is the
// conditional update in package configuration, so of racing operators exactly
// one wins, whichever nodes they talk to.
package operator
