// Package backend tracks the backends that requests can be sent to: the address and service of each
// incarnation, whether it takes new work, and how it has recently answered this node.
//
// A backend's identifier names one incarnation: after a restart it is another backend, even at the same
// address.
package backend
