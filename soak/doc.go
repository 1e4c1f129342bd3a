// Package soak holds the fault soak: real daemons as separate processes on
// loopback, with stand-ins of the users' platform, under randomized faults from
// outside. It checks the promises of the platform's pages from what callers and
// back ends see. Everything lives in test files.
//
//	make soak                      # SOAK_SEEDS=50 SOAK_DURATION=8s by default
//	SOAK_SEED=7 go test ./soak     # one seed
//	SOAK_NODES=40 ...              # as many nodes, instead of 3 to 6
//	SOAK_OLD=PATH ...              # another build of the daemon, which nodes run by turns
package soak
