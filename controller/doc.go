// Package controller runs the reconcilers of a node. A reconciler brings one
// named object from any state to its desired state. It depends on the current
// state only, so that missed or repeated calls do no harm.
package controller
