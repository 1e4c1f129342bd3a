package quota

import (
	"math"
	"time"

	"github.com/reelrun/reelrun/tenant"
)

// bucket is a token bucket whose limit may change. Its level may be negative: usage without a grant is a debt
// that is paid before anything else is granted.
type bucket struct {
	// level is the number of units that may be used, as of updatedAt.
	level     float64
	updatedAt time.Duration
	// limit is the limit at the last update of the level.
	limit tenant.Quota
	// share is the share of the limit at the last update.
	share float64
	// elsewhere is what other coordinators granted recently, as reported by nodes that belonged to them.
	elsewhere decayingSum
}

// newBucket returns the full bucket of a share of a limit. After the loss of a coordinator and of the nodes'
// records of its grants, a tenant can therefore use its burst a second time. The tolerance of the limits covers
// this excess. With a half-full bucket, the first requests of tenants below their limit would be rejected three
// times as often (0.3 % in a replay of 27 seconds).
func newBucket(now time.Duration, limit tenant.Quota, share float64) *bucket {
	return &bucket{level: limit.Burst * share, updatedAt: now, limit: limit, share: share}
}

// refill updates the level to the current time, limit and share (from 0 to 1).
func (b *bucket) refill(now time.Duration, limit tenant.Quota, share float64) {
	if raised := limit.Burst - b.limit.Burst; raised > 0 {
		// A higher limit applies immediately.
		b.level += raised * share
	}
	b.limit = limit
	if share > b.share {
		// Nodes that join add their share of the credit, less what the tenant has used of it elsewhere.
		b.level = min(b.level+limit.Burst*(share-b.share), limit.Burst*share*b.unusedBurst(now))
	}
	b.share = share
	b.level = min(b.level+limit.Rate*share*(now-b.updatedAt).Seconds(), limit.Burst*share)
	b.updatedAt = now
}

// unusedBurst returns the fraction of the burst that remains after what other coordinators granted recently:
// none for a tenant that has used its whole limit, all for one far below it.
func (b *bucket) unusedBurst(now time.Duration) float64 {
	used := b.elsewhere.asOf(now) / (b.limit.Rate * recentTime.Seconds())
	return min(1, max(0, (1-used)/(1-fullBucketUse)))
}

// take takes units if the level suffices. A request above the whole burst is granted by a full bucket:
// otherwise, such a request could never be served.
func (b *bucket) take(units, share float64) bool {
	if b.level < min(units, b.limit.Burst*share) {
		return false
	}
	b.level -= units
	return true
}

// fullBucketUse is the fraction of a limit up to which a tenant's recent usage implies that its bucket is full:
// tenants use somewhat more than half of their limits (the supported deployments set them at 1.8 times the
// usual rate), with random variation between seconds.
const fullBucketUse = 0.6

// grantedElsewhere records what another coordinator granted recently.
func (b *bucket) grantedElsewhere(now time.Duration, units float64) {
	if units <= 0 {
		return
	}
	b.elsewhere = decayingSum{sum: b.elsewhere.asOf(now) + units, at: now}
	b.level = min(b.level, b.limit.Burst*b.share*b.unusedBurst(now))
}

// wait returns the time after which the level suffices for units.
func (b *bucket) wait(units, share float64) time.Duration {
	rate := b.limit.Rate * share
	missing := min(units, b.limit.Burst*share) - b.level
	if missing <= 0 || rate <= 0 {
		return 0
	}
	seconds := min(missing/rate, maxRetryAfter.Seconds())
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond //nolint:mnd // milliseconds
}
