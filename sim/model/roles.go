package model

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/rebalance"
	"github.com/reelrun/reelrun/scheduler"
)

const (
	// roleInterval is the time between two looks at the load.
	roleInterval = 5 * time.Second
	// drainPoll is the time between two looks at a draining engine.
	drainPoll = 100 * time.Millisecond
	// roleChangeTime is how long an engine takes for an order to change its role,
	// when it is drained.
	roleChangeTime = 10 * time.Second
)

// roleChanger carries out what the advisor says, as a standing policy does.
type roleChanger struct {
	pooled  *pooled
	advisor *rebalance.Advisor
	earlier scheduler.Demand
}

func newRoleChanger(p *pooled) *roleChanger {
	return &roleChanger{pooled: p, advisor: rebalance.New(rebalance.Options{})}
}

func (c *roleChanger) start() { c.pooled.simulation.After(roleInterval, c.look) }

func (c *roleChanger) look() {
	s := c.pooled.simulation
	demand := c.pooled.pool.Demand()
	load := rebalance.Load{
		Prefill: (demand.Prefill - c.earlier.Prefill) / roleInterval.Seconds(),
		Decode:  (demand.Decode - c.earlier.Decode) / roleInterval.Seconds(),
	}
	c.earlier = demand
	for _, engine := range s.prefills {
		if !engine.gone {
			load.PrefillEngines++
		}
	}
	for _, engine := range s.decodes {
		if !engine.gone {
			load.DecodeEngines++
		}
	}
	if advice, due := c.advisor.Observe(s.Now(), load); due {
		c.change(advice)
	}
	c.start()
}

// change takes the last engine of the giving role out of the choice, waits until it
// is drained and has taken the order, and adds it to the other role.
func (c *roleChanger) change(advice rebalance.Advice) {
	s := c.pooled.simulation
	if advice.To == api.RolePrefill {
		engine := lastStaying(len(s.decodes), func(i int) bool { return !s.decodes[i].gone && s.decodes[i].up })
		s.decodes[engine].gone = true
		c.pooled.pool.SetReady(decodeName(engine), false)
		c.whenDrained(func() bool { return s.decodes[engine].slotsUsed()+len(s.decodes[engine].waiting) == 0 }, func() {
			s.prefills = append(s.prefills, &prefillEngine{cache: newPrefixCache(s.parameters.CacheBlocks)})
		})
		return
	}
	engine := lastStaying(len(s.prefills), func(i int) bool { return !s.prefills[i].gone })
	s.prefills[engine].gone = true
	c.pooled.pool.SetReady(prefillName(engine), false)
	c.whenDrained(func() bool { return c.prefillIsDrained(engine) }, func() {
		s.decodes = append(s.decodes, &decodeEngine{up: true})
	})
}

func lastStaying(count int, stays func(int) bool) int {
	for i := count - 1; i > 0; i-- {
		if stays(i) {
			return i
		}
	}
	return 0
}

// prefillIsDrained reports whether an engine neither computes nor holds a result.
func (c *roleChanger) prefillIsDrained(engine int) bool {
	for _, j := range c.pooled.all {
		if j.state.prefill == engine && j.state.phase > phaseNew && j.state.phase < phaseDecoding {
			return false
		}
	}
	return true
}

func (c *roleChanger) whenDrained(drained func() bool, add func()) {
	s := c.pooled.simulation
	if !drained() {
		s.After(drainPoll, func() { c.whenDrained(drained, add) })
		return
	}
	s.After(roleChangeTime, func() {
		add()
		c.pooled.setEngines()
		c.pooled.changed()
	})
}
