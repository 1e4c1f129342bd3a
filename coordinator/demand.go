package coordinator

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the demand: longer than a burst of a few seconds,
	// since a change of role takes about as long, and short enough to follow a lasting shift.
	demandTime = 10 * time.Second
	// leastDemandRequests is how many requests must have come before the demand counts.
	leastDemandRequests = 30
)

// Demand is how many engines of each role the requests of late keep busy.
type Demand struct {
	Prefill, Decode float64
	// DecodeUtilization is how busy decode engines were on average when no run fitted any more; zero
	// where that was not seen.
	DecodeUtilization float64
}

const (
	// fillInterval is the least time between two looks at how busy decode engines are.
	fillInterval = 100 * time.Millisecond
	// fillWeight is the weight of one look: a burst of three seconds is most of what is known.
	fillWeight = 0.05
)

// fillMeter learns how far decode engines can be filled. The zero value has seen nothing.
type fillMeter struct {
	share float64
	looks int
	at    time.Duration
}

// due reports whether another look is due.
func (m *fillMeter) due(now time.Duration) bool { return m.looks == 0 || now-m.at >= fillInterval }

// observe notes how busy decode engines are while no run fits.
func (m *fillMeter) observe(now time.Duration, share float64) {
	m.looks++
	m.at = now
	m.share += max(fillWeight, 1/float64(m.looks)) * (share - m.share)
}

// demandMeter measures the demand on a service. The zero value has seen no request.
type demandMeter struct {
	smoothed Demand
	at       time.Duration
	requests int
}

// add counts a request by the time that its prompt keeps a prefill engine busy, and by the
// share of a decode engine's memory that its run takes, times how long.
func (m *demandMeter) add(now time.Duration, reading time.Duration, decoding float64) {
	m.smoothed = m.current(now)
	m.smoothed.Prefill += reading.Seconds() / demandTime.Seconds()
	m.smoothed.Decode += decoding / demandTime.Seconds()
	m.at = now
	m.requests++
}

// current returns the demand as of now.
func (m *demandMeter) current(now time.Duration) Demand {
	kept := math.Exp(-(now - m.at).Seconds() / demandTime.Seconds())
	return Demand{Prefill: m.smoothed.Prefill * kept, Decode: m.smoothed.Decode * kept}
}

// countDemand counts a request that was given engines, or finally refused. One that was
// refused before is not counted again.
func (c *Coordinator) countDemand(now time.Duration, current *serviceState, request *Request) {
	if request.Late {
		return
	}
	run := request.Run
	run.Output = current.output.Mean(run.Output, run.MaxOutput)
	reading := current.prefill.model.Duration("", run.Prompt)
	current.demand.add(now, reading, current.decode.Occupancy(run))
}

// Demand returns the demand on a service, and whether enough requests have come to know it.
func (c *Coordinator) Demand(service string) (Demand, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	demand := current.demand.current(c.options.Now())
	demand.DecodeUtilization = current.fill.share
	return demand, current.demand.requests >= leastDemandRequests
}

// InUse returns the decode engines of a service that have runs, or said of late that they use memory
// which no known run explains.
func (c *Coordinator) InUse(service string) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(service).decode.InUse(c.options.Now())
}

// Runs returns how many runs each decode engine of a service has.
func (c *Coordinator) Runs(service string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(service).decode.Counts()
}
