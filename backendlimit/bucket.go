package backendlimit

import (
	"maps"
	"math"
	"time"
)

// bucket is a token bucket. Its level may be negative: a call of several units is granted with one unit of credit, and
// calls that are not refused are charged whatever the level.
type bucket struct {
	// level is the number of units that may be used, as of updatedAt.
	level     float64
	updatedAt time.Duration
}

// refill adds the credit since the last update, at a rate in units per second, up to a burst in units. A bucket that
// has not been used for idleTime has at most the credit of one unit: others may have used the limit meanwhile.
func (b *bucket) refill(now time.Duration, rate, burst float64) {
	elapsed := max(0, now-b.updatedAt)
	if elapsed > idleTime {
		burst = min(burst, 1)
	}
	b.level = min(b.level+rate*elapsed.Seconds(), burst)
	b.updatedAt = now
}

// discard removes the credit, and keeps what has been used in advance.
func (b *bucket) discard(now time.Duration) {
	b.level = min(b.level, 0)
	b.updatedAt = now
}

// take takes units if there is credit for one.
func (b *bucket) take(units float64) bool {
	if b.level < 1 {
		return false
	}
	b.level -= units
	return true
}

// wait returns the time until there is credit for one unit, at a rate in units per second.
func (b *bucket) wait(rate float64) time.Duration {
	if rate <= 0 {
		return maxWait
	}
	seconds := min(max(0, 1-b.level)/rate, maxWait.Seconds())
	wait := time.Duration(math.Ceil(seconds*1000)) * time.Millisecond //nolint:mnd // milliseconds
	return max(wait, minWait)
}

const (
	// minWait bounds how often a node asks for the credit of one backend. maxWait bounds how long it does not, so that
	// it notices a higher limit.
	minWait = 50 * time.Millisecond
	maxWait = 5 * time.Second
	// idleTime is the time without a charge after which another node may have become the coordinator.
	idleTime = time.Second
	// bucketLifetime is how long an unused bucket is kept.
	bucketLifetime = time.Minute
)

// buckets holds the buckets of backends by identifier. The zero value holds none.
type buckets struct {
	byBackend map[string]*bucket
	// prunedAt is when unused buckets were last removed.
	prunedAt time.Duration
}

// of returns the bucket of a backend. A new one is empty.
func (b *buckets) of(now time.Duration, backend string) *bucket {
	if now-b.prunedAt > bucketLifetime {
		b.prune(now)
	}
	current := b.byBackend[backend]
	if current != nil {
		return current
	}
	if b.byBackend == nil {
		b.byBackend = map[string]*bucket{}
	}
	current = &bucket{updatedAt: now}
	b.byBackend[backend] = current
	return current
}

// prune removes the buckets that have not been used for bucketLifetime.
func (b *buckets) prune(now time.Duration) {
	maps.DeleteFunc(b.byBackend, func(_ string, unused *bucket) bool { return now-unused.updatedAt > bucketLifetime })
	b.prunedAt = now
}

// discard removes the credit of a backend, if it has a bucket.
func (b *buckets) discard(now time.Duration, backend string) {
	if current := b.byBackend[backend]; current != nil {
		current.discard(now)
	}
}
