package coordinator

import "time"

// State is what a coordinator knows of one service at a moment.
type State struct {
	// Prefill and Decode are how many engines of each role take work, and Failing how many
	// more would if they had not failed lately.
	Prefill, Decode, Failing int
	// Runs is how many runs it has assigned, and MemoryShare the share of the memory of all
	// decode engines that they use now.
	Runs        int
	MemoryShare float64
	// Waiting is how many requests wait for engines.
	Waiting int
	// Backlog is how long the prefill engines still read, in the mean.
	Backlog time.Duration
	// Demand is how many engines of each role the requests of late keep busy.
	Demand Demand
	// DecodeRate is how many tokens a run makes in a second.
	DecodeRate float64
}

// State returns what is known of a service now.
func (c *Coordinator) State(service string) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, now := c.state(service), c.options.Now()
	all := c.options.Engines(service)
	total := len(all.Prefill) + len(all.Decode)
	sound := soundOf(now, &current.health, all)
	state := State{
		Prefill: len(sound.Prefill), Decode: len(sound.Decode), Failing: total - len(sound.Prefill) - len(sound.Decode),
		Runs: current.decode.Len(), Waiting: len(current.waiting), DecodeRate: current.decode.DecodeRate(),
		Demand: current.demand.current(now),
	}
	current.decode.SetEngines(sound.Decode)
	state.MemoryShare = current.decode.MemoryShare(now)
	for _, id := range sound.Prefill {
		state.Backlog += current.prefill.backlog(now, id) / time.Duration(len(sound.Prefill))
	}
	return state
}
