package coordinator

import (
	"math"
	"time"
)

const (
	// retryShare is the share of the runs that end whose capacity is promised to
	// callers that come back; new ones take the rest.
	retryShare = 0.25
	// rateSmoothing is the time constant of the rate at which runs end.
	rateSmoothing = 2 * time.Second
	// leastRate bounds the rate from below, in runs a second.
	leastRate = 1.0
	// longestRetryAfter is how far ahead returns are scheduled. Callers do not wait
	// longer.
	longestRetryAfter = 5 * time.Second
)

// retrySchedule gives each refused caller a time to come back, so that not more
// come at once than runs end.
type retrySchedule struct {
	// taken is up to when returns are scheduled.
	taken time.Duration
	// rate is how many runs end in a second.
	rate   float64
	rateAt time.Duration
}

// ended counts a run that has ended.
func (s *retrySchedule) ended(now time.Duration) {
	s.rate = s.current(now) + 1/rateSmoothing.Seconds()
	s.rateAt = now
}

// current returns the rate as of now.
func (s *retrySchedule) current(now time.Duration) float64 {
	return s.rate * math.Exp(-(now-s.rateAt).Seconds()/rateSmoothing.Seconds())
}

// next returns after what time a caller is to come back, given when there will be
// capacity for it at the earliest.
func (s *retrySchedule) next(now, wait time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / max(leastRate, s.current(now)*retryShare))
	s.taken = min(max(s.taken, now+wait)+interval, now+longestRetryAfter)
	return s.taken - now
}
