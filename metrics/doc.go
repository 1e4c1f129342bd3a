// Package metrics publishes counters and latency histograms through expvar.
//
// Every rejection, retry and failure is counted here. Log lines are written only
// on changes of state.
package metrics
