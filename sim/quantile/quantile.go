package quantile

import (
	"slices"
	"time"
)

// Of sorts the values and returns the quantile of a share between zero and one, in
// seconds, or zero if there are no values.
func Of(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(float64(len(values)-1)*share)].Seconds()
}

// P95 sorts the values and returns the 95th percentile in seconds, or zero if
// there are none.
func P95(values []time.Duration) float64 {
	const share = 0.95
	return Of(values, share)
}
