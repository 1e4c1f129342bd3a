// Package sitemodel is a discrete-event model of engines whose memory is filled by growing
// answers, as at the users' sites, in virtual time. It is seeded and deterministic. The
// router's own policy calls the ledger that the coordinator calls.
//
// It has what binds there: prompts read in turn at the pace of a prefill engine, results
// that lapse, links, memory that each answer fills as it grows, the newest run preempted
// and read anew where it overflows, and steps that take longer with the batch. It leaves out
// nodes, the network between them and everything that fails; docs/MODEL.md sets its ranking
// of policies beside that of the users' bench.
package sitemodel
