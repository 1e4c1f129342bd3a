// Package controller runs the reconcilers of a node. A reconciler brings one
// named object from whatever state it is in to the wanted one; it looks at the
// present state only, so a run that was missed or repeated does no harm.
package controller
