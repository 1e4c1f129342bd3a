// Package coordinator assigns engines to requests. Rendezvous hashing over the
// live nodes chooses one coordinator for each service. The coordinator tracks all
// runs that it has assigned, so that memory that a run will need later is not
// assigned twice, and keeps one queue of requests for which no capacity is free.
//
// It learns from the reports of all nodes: the duration of prefills, the decode
// rate, the lengths of outputs, and which engines fail. It learns the
// properties of a deployment within seconds; the constants with initial
// estimates are declared next to the models that replace them.
//
// coordinator.go handles requests and reports from nodes, serve.go orders
// waiting requests, assign.go chooses engines for one request, prefill.go
// tracks queued prefills, health.go tracks failures, demand.go measures the
// demand, and retries.go schedules client retries.
//
// Nothing is persisted. A node sends all its runs to a coordinator that is new
// to it. Two coordinators at the same time may assign more capacity than there
// is; the engines then reject the excess. If a coordinator does not answer at
// once, the node does not wait for it: it chooses engines for the request
// itself, and calls the next candidate once the coordinator counts as
// unresponsive.
package coordinator
