package quantile

import (
	"slices"
	"time"
)

// P95 sorts the values and returns the 95th percentile in seconds, or zero if
// there are none.
func P95(values []time.Duration) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	const numerator, denominator = 95, 100
	return values[(len(values)-1)*numerator/denominator].Seconds()
}
