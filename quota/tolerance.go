package quota

import (
	"time"

	"github.com/reelrun/reelrun/tenant"
)

// Tolerance is how far a tenant may exceed its limit over the window in which limits are evaluated, as given by
// the settings. The zero value tolerates nothing.
type Tolerance struct {
	// Window is the time over which limits are evaluated.
	Window time.Duration
	// Overshoot is the fraction of a limit, and Slack the units, by which it may be exceeded in a window.
	Overshoot, Slack float64
}

// grantedTolerance is the share of the tolerance that is granted to tenants. The rest is for what coordinators
// grant without knowing of each other's grants: in random partitions that last two seconds or more, with a
// tenant at four times its limit, the coordinators together grant up to 0.3 of a window too much.
const grantedTolerance = 0.25

// limit returns a limit whose burst includes the granted share of the tolerance. A small tenant's burst is the
// size of two or three of its requests, so that random variation alone causes rejections below its limit:
// on a day without faults, the limits alone rejected 212 of 1,420 generations.
func (t Tolerance) limit(limit tenant.Quota) tenant.Quota {
	tolerated := t.Overshoot*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	limit.Burst += grantedTolerance * tolerated
	return limit
}
