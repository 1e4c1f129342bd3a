package coordinator

import "time"

// State is a coordinator's view of one service.
type State struct {
	// Prefill and Decode are the numbers of engines of each role that accept work, and Failing is
	// the number of those excluded for recent failures.
	Prefill, Decode, Failing int
	// Runs is the number of assigned runs, and MemoryShare the share of the memory of all decode
	// engines that they use now.
	Runs        int
	MemoryShare float64
	// Waiting is the number of requests that wait for engines.
	Waiting int
	// Backlog is the mean time until the prefill engines finish their queued prompts.
	Backlog time.Duration
	// Demand is how many engines of each role recent requests keep busy.
	Demand Demand
	// DecodeRate is the learned decode rate of one run, in tokens per second.
	DecodeRate float64
}

// State returns the current state of a service.
func (c *Coordinator) State(service string) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, now := c.state(service), c.options.Now()
	all := c.options.Engines(service)
	total := len(all.Prefill) + len(all.Decode)
	healthy := healthyOf(now, &current.health, all)
	state := State{
		Prefill: len(healthy.Prefill), Decode: len(healthy.Decode), Failing: total - len(healthy.Prefill) - len(healthy.Decode),
		Runs: current.decode.Len(), Waiting: len(current.waiting), DecodeRate: current.decode.DecodeRate(),
		Demand: current.demand.current(now),
	}
	current.decode.SetEngines(healthy.Decode)
	state.MemoryShare = current.decode.MemoryShare(now)
	for _, id := range healthy.Prefill {
		state.Backlog += current.prefill.backlog(now, id) / time.Duration(len(healthy.Prefill))
	}
	return state
}
