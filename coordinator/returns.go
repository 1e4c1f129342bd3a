package coordinator

import (
	"math"
	"time"
)

const (
	// returnShare is the share of the runs that end whose room is promised to
	// callers that come back; new ones take the rest.
	returnShare = 0.25
	// rateSmoothing is the time constant of the rate at which runs end.
	rateSmoothing = 2 * time.Second
	// leastRate bounds the rate from below, in runs a second.
	leastRate = 1.0
	// farthestReturn is how far ahead returns are scheduled. Callers do not wait
	// longer.
	farthestReturn = 5 * time.Second
)

// returnSchedule gives each refused caller a time to come back, so that not more
// come at once than runs end.
type returnSchedule struct {
	// taken is up to when returns are scheduled.
	taken time.Duration
	// rate is how many runs end in a second.
	rate   float64
	rateAt time.Duration
}

// ended counts a run that has ended.
func (s *returnSchedule) ended(now time.Duration) {
	s.rate = s.current(now) + 1/rateSmoothing.Seconds()
	s.rateAt = now
}

// current returns the rate as of now.
func (s *returnSchedule) current(now time.Duration) float64 {
	return s.rate * math.Exp(-(now-s.rateAt).Seconds()/rateSmoothing.Seconds())
}

// next returns after what time a caller is to come back, given when there will be
// room for it at the earliest.
func (s *returnSchedule) next(now, room time.Duration) time.Duration {
	interval := time.Duration(float64(time.Second) / max(leastRate, s.current(now)*returnShare))
	s.taken = min(max(s.taken, now+room)+interval, now+farthestReturn)
	return s.taken - now
}
