package quantile

import (
	"slices"
	"time"
)

// Of returns the quantile of the values at a share between zero and one, in seconds, or
// zero if there are no values. It sorts the values in place.
func Of(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(float64(len(values)-1)*share)].Seconds()
}

// P95 returns the 95th percentile of the values in seconds, or zero if there are none.
// It sorts the values in place.
func P95(values []time.Duration) float64 {
	const share = 0.95
	return Of(values, share)
}
