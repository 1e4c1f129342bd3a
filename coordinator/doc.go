// Package coordinator assigns engines to requests. For each service one node
// coordinates: the live one that rendezvous hashing gives. It knows every run that
// it has assigned, so that memory that a run will need later is not given to
// another one, and requests wait in one order where no capacity is free.
//
// It learns from what all nodes report: how long engines take to read prompts, how fast they
// answer, how long answers become, and which engines fail. What it needs of a deployment it
// learns within seconds; the first guesses stand beside what replaces them.
//
// coordinator.go receives what nodes ask and report, serve.go decides the order of those that
// wait, assign.go chooses engines for one request, prefill.go follows the prompts that engines
// have before them, health.go the failures, demand.go what keeps engines busy, and returns.go
// when refused callers should retry.
//
// Nothing is stored. A node that finds another coordinator than before sends it
// its own runs; two coordinators for a moment assign too much, and the engines
// refuse the excess. A coordinator that does not answer at once is passed over.
package coordinator
