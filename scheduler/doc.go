// Package scheduler decides which engine takes each prefill and each decode,
// and which request waits or is refused.
//
// Decide is a pure function of a Snapshot and a Request: it filters the engines
// that can take the request, scores those left by the predicted time of the
// first token, and picks the best. Pool keeps the books of one pool of engines
// and asks Decide in an order that is fair between tenants. Neither performs
// I/O or reads a clock: times are durations since a start of the caller's
// choice. The router and the emulator call the same code.
package scheduler
