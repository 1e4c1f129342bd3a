package concurrencylimit

import "time"

// smallest is the smallest of several durations.
type smallest struct {
	duration time.Duration
	count    int
}

func (s *smallest) add(duration time.Duration) {
	if s.count == 0 || duration < s.duration {
		s.duration = duration
	}
	s.count++
}

func (s *smallest) isEmpty() bool { return s.count == 0 }

// value returns the smallest duration, or zero for none.
func (s *smallest) value() time.Duration { return max(0, s.duration) }

// usualDelayLifetime is how long a delay counts as usual, at least.
const usualDelayLifetime = 30 * time.Second

// usualDelay is the smallest delay of some time: that of a link without a queue.
type usualDelay struct {
	// current began at began; previous is that of the time before.
	current, previous smallest
	began             time.Time
}

func (u *usualDelay) add(now time.Time, delay time.Duration) {
	if now.Sub(u.began) >= usualDelayLifetime {
		u.previous, u.current, u.began = u.current, smallest{}, now
	}
	u.current.add(delay)
}

// value returns the usual delay, or zero if none is known.
func (u *usualDelay) value() time.Duration {
	if u.previous.isEmpty() {
		return u.current.value()
	}
	return min(u.previous.value(), u.current.value())
}
