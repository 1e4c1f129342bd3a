package owner

import (
	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/scheduler"
)

// PoolDemand is the work requested from a pool since this node created its state.
type PoolDemand struct {
	scheduler.Demand
	// Epoch identifies the state of the pool: the counts restart with each new state.
	Epoch int64
	// PrefillEngines and DecodeEngines count the engines that have their configured role.
	PrefillEngines int
	DecodeEngines  int
	// Changing is set if an engine does not have its configured role yet.
	Changing bool
}

// Demand returns the demand of a pool that this node owns.
func (o *Owner) Demand(name string) (PoolDemand, bool) {
	configured, ok := o.options.Configuration.Current().Pool(name)
	if !ok || !o.options.Members.Owns(configured.Zone, Key(name)) {
		return PoolDemand{}, false
	}
	o.mu.Lock()
	owned, ok := o.pools[name]
	o.mu.Unlock()
	if !ok {
		return PoolDemand{}, false
	}
	return owned.demand(), true
}

func (p *pool) demand() PoolDemand {
	p.mu.Lock()
	defer p.mu.Unlock()
	demand := PoolDemand{Demand: p.scheduler.Demand(), Epoch: p.start.UnixNano()}
	for name, role := range p.configured {
		switch {
		case !p.isInRole(name):
			demand.Changing = true
		case role == api.RolePrefill:
			demand.PrefillEngines++
		default:
			demand.DecodeEngines++
		}
	}
	return demand
}
