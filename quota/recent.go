package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// recentTime is the time constant of recent usage: the time in which a limit's burst refills, a second on
	// the supported deployments.
	recentTime = time.Second
	// minTrackedUnits is the sum below which a tenant is no longer tracked.
	minTrackedUnits = 0.5
)

// recentUsage is what coordinators have granted to one node recently, by tenant. A new coordinator has no
// record of it, and a coordinator that the node returns to has a record of its own grants only. Without this sum,
// a tenant could use its burst at each coordinator. It is safe for concurrent use.
type recentUsage struct {
	mu       sync.Mutex
	byTenant map[string]decayingSum
}

// decayingSum is a sum at a point in time.
type decayingSum struct {
	sum float64
	at  time.Duration
}

// asOf returns the sum at a later time.
func (d decayingSum) asOf(now time.Duration) float64 {
	return d.sum * math.Exp(-(now-d.at).Seconds()/recentTime.Seconds())
}

// add adds granted units, or negative ones that were refunded.
func (r *recentUsage) add(now time.Duration, name string, units float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byTenant == nil {
		r.byTenant = map[string]decayingSum{}
	}
	r.byTenant[name] = decayingSum{sum: max(0, r.byTenant[name].asOf(now)+units), at: now}
}

// drain returns what was granted recently, and clears it.
func (r *recentUsage) drain(now time.Duration) []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usages []Usage
	for name, granted := range r.byTenant {
		if sum := granted.asOf(now); sum > minTrackedUnits {
			usages = append(usages, Usage{Tenant: name, Recent: sum})
		}
	}
	r.byTenant = nil
	return usages
}

// prune removes the tenants without recent usage.
func (r *recentUsage) prune(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, granted := range r.byTenant {
		if granted.asOf(now) <= minTrackedUnits {
			delete(r.byTenant, name)
		}
	}
}
