// Package metrics publishes counters and latency histograms through expvar.
//
// Counters come before log lines: every refusal, retry and failure counts here,
// and a log line is written only on a change of state.
package metrics
