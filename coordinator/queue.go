package coordinator

import "time"

const (
	// minCompletions is how many runs must have ended, and minCompletionRate how many must end per
	// second, before waits are predicted from them.
	minCompletions    = 20
	minCompletionRate = 3.0
	// minSpareShare is the minimum share of the capacity that retries are expected to get, even
	// while first attempts alone exceed the completions: most bursts end within the 2 to 4 s for
	// which a retry may wait. With 0.02, 0.019 of the streams of five days with faults were
	// rejected in the end; with 0.3, 0.011 were (nine engines, three seeds).
	minSpareShare = 0.3
)

// queueLoad is the load ahead of a request that does not fit: the number of requests before it, and
// the rates at which capacity is freed and requested. It guards against a load far above the
// engines' capacity: without a bound, requests would wait as long as they may and be rejected
// anyway, while the coordinator is busy with the queue.
type queueLoad struct {
	// firstAttempts and retries are the numbers of waiting requests.
	firstAttempts, retries int
	// completions is how many runs end per second, and arrivals how many first attempts arrive.
	completions, arrivals float64
	// known is set if enough runs have ended for a prediction.
	known bool
}

// expectedWait returns the expected wait for engines. First attempts are served first, so retries
// get only the remaining capacity.
func (l queueLoad) expectedWait(late bool) time.Duration {
	rate, before := l.completions, l.firstAttempts
	if late {
		rate, before = max(l.completions-l.arrivals, minSpareShare*l.completions), l.firstAttempts+l.retries
	}
	return time.Duration(float64(before+1) / rate * float64(time.Second))
}

// unservable reports whether the expected wait of a request exceeds the longest time that it may
// wait.
func (l queueLoad) unservable(late bool, maxWait time.Duration) bool {
	return l.known && l.expectedWait(late) > maxWait
}

// load returns the load ahead of a request; the lock is held. Requests that are served after it do
// not count.
func (s *serviceState) load(now time.Duration, arrived *waiter) queueLoad {
	found := queueLoad{completions: s.completions.perSecond(now), arrivals: s.arrivals.perSecond(now)}
	found.known = s.completions.events >= minCompletions && found.completions >= minCompletionRate
	for _, queued := range s.waiting {
		if s.compareRank(queued, arrived) > 0 {
			continue
		}
		if s.ranksLate(queued.request) {
			found.retries++
		} else {
			found.firstAttempts++
		}
	}
	return found
}
