// Package admission limits the requests that a fleet of nodes sends to a plain service, and balances them over
// the service's backends.
//
// A single node of a large fleet sees about one request a second. Its own requests in flight at a backend say
// nothing about the backend's utilization, and no limit that a node could apply locally is both fair and small
// enough. So each node reports its counts to the service's coordinator, once a second and more often under
// load, and receives a Plan: the share of the requests to admit, and the weights of the backends. Nodes decide
// by the plan alone, without a call per request, and ignore a plan that is too old.
//
// Meter counts what a node sees, Controller computes plans from all reports, and Gate applies a plan. None of
// them does I/O; Client carries reports and plans between nodes.
//
// The admitted share is one number for all nodes, as in the adaptive sampling of overload control by
// collaborating services (Zhou et al., Overload Control for Scaling WeChat Microservices, SoCC 2018): it does
// not depend on how many nodes share the load.
package admission
