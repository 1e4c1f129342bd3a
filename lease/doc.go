// Package lease gives one node at a time the right to act, through an object of the platform. Each holder has a
// higher fencing token than all holders before it.
//
// A lease does not rely on synchronized clocks. A candidate measures on its own monotonic clock how long the
// record has been unchanged, and takes over when this exceeds the duration in the record. The holder measures
// its remaining time from before the write that renewed the lease, so it gives up earlier than any candidate
// takes over.
//
// After the store has been restored from a copy, the record may be older than the last holder. Until it has been written
// in the store's new epoch, a candidate waits for a whole duration, whatever the record states, and the next fencing
// token is above all tokens of earlier epochs.
package lease
