// Package backendlimit enforces the limits that backends name for their requests, over all nodes together.
//
// A node of a large fleet sends one backend a request every few minutes, and a small limit is less than one request a
// second and node. So one node, the coordinator, holds a token bucket for each backend that names a limit, and each
// call is charged there before it is sent. The limit comes with the charge: the coordinator itself may never have
// called the backend. The backends of services without a limit cost nothing.
//
// A coordinator grants only the share of each limit that belongs to the nodes that it reaches, and a node that gets no
// response from a coordinator grants a single node's equal share. Both sides of a partition together therefore grant
// about one limit. Buckets start empty, so that a change of the coordinator adds nothing to a limit.
//
// Coordinator and LocalLimiter decide, without I/O; Client carries charges between nodes. Package quota does the same
// for tenants, whose limits are part of the configuration and whose requests may exceed them for a moment.
package backendlimit
