package model

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/rebalance"
	"github.com/reelrun/reelrun/scheduler"
)

const (
	// roleInterval is the time between observations of the load.
	roleInterval = 5 * time.Second
	// drainCheckInterval is the time between checks of a draining engine.
	drainCheckInterval = 100 * time.Millisecond
	// roleChangeTime is how long a drained engine takes to carry out an order to change
	// its role.
	roleChangeTime = 10 * time.Second
)

// roleChanger applies the advice of rebalance.Advisor without an operator, as the
// role change policy "apply" does.
type roleChanger struct {
	poolRouter *poolRouter
	advisor    *rebalance.Advisor
	lastDemand scheduler.Demand
}

func newRoleChanger(p *poolRouter) *roleChanger {
	return &roleChanger{poolRouter: p, advisor: rebalance.New(rebalance.Options{})}
}

func (c *roleChanger) start() { c.poolRouter.simulation.After(roleInterval, c.observe) }

func (c *roleChanger) observe() {
	s := c.poolRouter.simulation
	demand := c.poolRouter.pool.Demand()
	load := rebalance.Load{
		Prefill: (demand.Prefill - c.lastDemand.Prefill) / roleInterval.Seconds(),
		Decode:  (demand.Decode - c.lastDemand.Decode) / roleInterval.Seconds(),
	}
	c.lastDemand = demand
	for _, engine := range s.prefills {
		if !engine.removed {
			load.PrefillEngines++
		}
	}
	for _, engine := range s.decodes {
		if !engine.removed {
			load.DecodeEngines++
		}
	}
	if advice, due := c.advisor.Observe(s.Now(), load); due {
		c.apply(advice)
	}
	c.start()
}

// apply stops scheduling to the last engine of the role that is to lose an engine,
// waits until that engine is drained and has changed its role, and adds it to the other
// role.
func (c *roleChanger) apply(advice rebalance.Advice) {
	s := c.poolRouter.simulation
	if advice.To == api.RolePrefill {
		engine := lastActive(len(s.decodes), func(i int) bool { return !s.decodes[i].removed && s.decodes[i].available })
		s.decodes[engine].removed = true
		c.poolRouter.pool.SetReady(decodeName(engine), false)
		c.afterDrain(func() bool { return s.decodes[engine].slotsUsed()+len(s.decodes[engine].waiting) == 0 }, func() {
			s.prefills = append(s.prefills, &prefillEngine{cache: newPrefixCache(s.parameters.CacheBlocks)})
		})
		return
	}
	engine := lastActive(len(s.prefills), func(i int) bool { return !s.prefills[i].removed })
	s.prefills[engine].removed = true
	c.poolRouter.pool.SetReady(prefillName(engine), false)
	c.afterDrain(func() bool { return c.prefillIsDrained(engine) }, func() {
		s.decodes = append(s.decodes, &decodeEngine{available: true})
	})
}

func lastActive(count int, active func(int) bool) int {
	for i := count - 1; i > 0; i-- {
		if active(i) {
			return i
		}
	}
	return 0
}

// prefillIsDrained reports whether a prefill engine neither computes nor holds a
// result.
func (c *roleChanger) prefillIsDrained(engine int) bool {
	for _, j := range c.poolRouter.allJobs {
		if j.state.prefillEngine == engine && j.state.phase > phaseNew && j.state.phase < phaseDecoding {
			return false
		}
	}
	return true
}

func (c *roleChanger) afterDrain(drained func() bool, add func()) {
	s := c.poolRouter.simulation
	if !drained() {
		s.After(drainCheckInterval, func() { c.afterDrain(drained, add) })
		return
	}
	s.After(roleChangeTime, func() {
		add()
		c.poolRouter.setEngines()
		c.poolRouter.capacityChanged()
	})
}
