// Package scheduler decides which engine takes each prefill and each decode,
// and which request waits or is rejected.
//
// Decide is a pure function of a Snapshot and a Request: it filters the engines
// that can take the request, scores them by the predicted time of the first
// token, and picks the best. Pool tracks the grants of one pool of engines and
// calls Decide in an order that is fair between tenants. Neither performs I/O
// or reads a clock: times are durations since a start that the caller chooses.
// The router and the emulator run the same code.
package scheduler
