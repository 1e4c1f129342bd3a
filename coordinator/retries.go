package coordinator

import "time"

const (
	// retryShare is the share of the completions whose capacity is promised to client retries:
	// retries are scheduled at this share of the completion rate, and first attempts take the rest.
	retryShare = 0.25
	// minRate is the lower bound of the rate, in runs per second.
	minRate = 1.0
	// maxRetryAfter is how far ahead retries are scheduled. Clients do not wait longer.
	maxRetryAfter = 5 * time.Second
)

// retrySchedule gives each rejected client a time to retry, so that retries do not arrive faster
// than runs end.
type retrySchedule struct {
	// scheduledUntil is the time up to which retries are scheduled.
	scheduledUntil time.Duration
}

// next returns the time until a client should retry, given the time until there is capacity for it
// at the earliest, and the number of runs that end per second.
func (s *retrySchedule) next(now, wait time.Duration, completions float64) time.Duration {
	interval := time.Duration(float64(time.Second) / max(minRate, completions*retryShare))
	s.scheduledUntil = min(max(s.scheduledUntil, now+wait)+interval, now+maxRetryAfter)
	return s.scheduledUntil - now
}
