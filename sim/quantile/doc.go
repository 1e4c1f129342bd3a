// Package quantile computes quantiles of durations for the reports of the rehearsal kit.
package quantile
