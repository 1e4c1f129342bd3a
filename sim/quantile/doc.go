// Package quantile sums durations up for the reports of the rehearsal kit.
package quantile
