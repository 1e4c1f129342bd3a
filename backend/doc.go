// Package backend knows the back ends that requests can be sent to: where each
// incarnation is, which service it belongs to, whether it takes new work, and
// how it has answered this node lately.
//
// A back end's identifier names one incarnation: after a restart it is another
// back end, also at the same address.
package backend
