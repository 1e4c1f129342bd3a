// Package sitemodel is a discrete-event model, in virtual time, of the engines of the supported
// deployments, whose memory fills as outputs grow. It is seeded and deterministic. The router's own
// policy uses the same ledger package as the coordinator.
//
// It models the constraints of these deployments: prompts prefilled one after the other at the rate
// of a prefill engine, prefill results that expire, link bandwidth, memory that each output uses as
// it grows, preemption of the newest run and recomputation of its tokens when memory overflows, and
// steps that take longer with a larger batch. It leaves out nodes, the network between them and
// failures; docs/MODEL.md compares its ranking of policies with that of the reference benchmark.
package sitemodel
