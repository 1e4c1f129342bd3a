// Package soak is a fault-injection soak test: it runs real daemons as separate
// processes on loopback, with stand-ins for the hosting platform, under randomized
// external faults, and checks the guarantees in the platform's documentation against
// what callers and backends observe. All code is in test files.
//
//	make soak                      # SOAK_SEEDS=50 SOAK_DURATION=8s by default
//	SOAK_SEED=7 go test ./soak     # one seed
//	SOAK_NODES=40 ...              # number of nodes, instead of 3 to 6
//	SOAK_BINARY=PATH ...           # this build of the daemon, instead of one of this source
//	SOAK_OLD=PATH ...              # another build of the daemon; nodes alternate between the two
package soak
