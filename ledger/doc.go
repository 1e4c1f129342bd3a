// Package ledger tracks which runs are assigned to which decode engine of one
// service, and decides whether another run fits.
//
// An engine admits a request if it has capacity at that moment, but each run
// grows by the tokens that it generates. The ledger therefore predicts memory
// use: it assumes that runs grow at the learned decode rate and end at their
// expected output length, and a run fits if the memory suffices at every moment
// from now on.
//
// The package does no I/O and reads no clock. A Ledger is not safe for
// concurrent use.
package ledger
