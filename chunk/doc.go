// Package chunk divides long contents into chunks whose bounds go by the content. Two versions
// of one content have most of their chunks in common, also where something was inserted in the
// middle, so that a node which has one version fetches only what the other one changes.
package chunk
