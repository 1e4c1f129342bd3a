// Package quota enforces the limits of tenants over a whole fleet.
//
// A node of a large fleet sees a few requests a second, and of one tenant perhaps one every few seconds, while
// a single generation may cost a third of what a small tenant may use in a second. Equal shares of a limit for
// each node are therefore too small to serve anything. So one node, the coordinator, holds a token bucket per
// tenant, and each request of a tenant with a limit is charged there before it is sent to a backend. Requests
// that did not run are refunded.
//
// No node may use a part of a limit that another one may use at the same time: a coordinator grants only the
// share of each limit that belongs to the nodes that have called it recently, and a node that reaches no
// coordinator uses a single node's equal share, and reports that to the next coordinator it reaches. If both
// sides of a partition choose a coordinator, the two together grant no more than one limit.
//
// Coordinator decides on charges, and LocalLimiter on those that reach no coordinator. Neither does I/O. Client
// carries charges between nodes.
package quota
