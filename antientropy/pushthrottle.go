package antientropy

import "time"

const (
	// minPushInterval and maxPushInterval bound the time between two push rounds. The first round after a quiet
	// period starts at once; while changes keep coming, as in a rollout of thousands of backends, rounds become
	// rarer and each carries more. Updates take about ten rounds to reach a thousand nodes, which with the
	// longest interval is one second on average.
	minPushInterval = 50 * time.Millisecond
	maxPushInterval = 200 * time.Millisecond
)

// pushThrottle is the interval after a push round in which no other one starts. The zero value permits a round.
type pushThrottle struct {
	// expired fires when the interval has passed; nil outside an interval.
	expired <-chan time.Time
	// interval is the last interval, and endedAt when it ended.
	interval time.Duration
	endedAt  time.Time
}

// gate returns the channel of updates, or nil during an interval.
func (t *pushThrottle) gate(updates chan struct{}) chan struct{} {
	if t.expired != nil {
		return nil
	}
	return updates
}

// start starts the interval after a round. It is twice as long as the previous interval if the round followed
// soon after the end of that one.
func (t *pushThrottle) start(now time.Time) {
	if t.interval == 0 || now.Sub(t.endedAt) > minPushInterval {
		t.interval = minPushInterval
	} else {
		t.interval = min(2*t.interval, maxPushInterval)
	}
	t.expired = time.After(t.interval)
}

// release ends the interval.
func (t *pushThrottle) release() { t.expired, t.endedAt = nil, time.Now() }
