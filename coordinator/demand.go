package coordinator

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the smoothed demand: longer than a burst of a few
	// seconds, because a role change takes about as long as such a burst, and short enough to follow
	// a lasting shift.
	demandTimeConstant = 10 * time.Second
	// minDemandRequests is the number of requests from which the demand is known.
	minDemandRequests = 30
)

// Demand is how many engines of each role recent requests keep busy.
type Demand struct {
	Prefill, Decode float64
	// DecodeUtilization is the mean utilization of decode engines at the moments when no further
	// run fitted; zero if that has not been observed.
	DecodeUtilization float64
}

const (
	// utilizationInterval is the minimum time between two samples of the decode utilization.
	utilizationInterval = 100 * time.Millisecond
	// utilizationWeight is the weight of one sample: samples of a three-second burst make up most
	// of the estimate.
	utilizationWeight = 0.05
)

// utilizationMeter learns how much of the decode memory can be used. The zero value has no samples.
type utilizationMeter struct {
	// share is the smoothed utilization.
	share   float64
	samples int
	// at is the time of the last sample.
	at time.Duration
}

// due reports whether another sample is due.
func (m *utilizationMeter) due(now time.Duration) bool {
	return m.samples == 0 || now-m.at >= utilizationInterval
}

// observe adds a sample of the decode utilization while no run fits.
func (m *utilizationMeter) observe(now time.Duration, share float64) {
	m.samples++
	m.at = now
	m.share += max(utilizationWeight, 1/float64(m.samples)) * (share - m.share)
}

// demandMeter measures the demand on a service. The zero value has no requests.
type demandMeter struct {
	// smoothed is the demand as of at, the time of the last request.
	smoothed Demand
	at       time.Duration
	requests int
}

// add counts a request by the time for which its prefill occupies a prefill engine, and by the
// share of a decode engine's memory that its run takes, multiplied by the run's duration.
func (m *demandMeter) add(now time.Duration, prefill time.Duration, decode float64) {
	m.smoothed = m.current(now)
	m.smoothed.Prefill += prefill.Seconds() / demandTimeConstant.Seconds()
	m.smoothed.Decode += decode / demandTimeConstant.Seconds()
	m.at = now
	m.requests++
}

// current returns the demand as of now.
func (m *demandMeter) current(now time.Duration) Demand {
	decay := math.Exp(-(now - m.at).Seconds() / demandTimeConstant.Seconds())
	return Demand{Prefill: m.smoothed.Prefill * decay, Decode: m.smoothed.Decode * decay}
}

// countDemand counts a request that was assigned engines or finally rejected. A client retry is not
// counted again.
func (c *Coordinator) countDemand(now time.Duration, current *serviceState, request *Request) {
	if request.Late {
		return
	}
	run := request.Run
	run.Output = current.output.Mean(run.Output, run.MaxOutput)
	prefill := current.prefill.model.Duration("", run.Prompt)
	current.demand.add(now, prefill, current.decode.Occupancy(run))
}

// Demand returns the demand on a service, and whether enough requests have arrived to know it.
func (c *Coordinator) Demand(service string) (Demand, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	demand := current.demand.current(c.options.Now())
	demand.DecodeUtilization = current.utilization.share
	return demand, current.demand.requests >= minDemandRequests
}

// InUse returns the decode engines of a service that have runs, or that recently reported more
// memory in use than the runs in the ledger explain.
func (c *Coordinator) InUse(service string) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(service).decode.InUse(c.options.Now())
}

// Runs returns the number of runs of each decode engine of a service.
func (c *Coordinator) Runs(service string) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(service).decode.Counts()
}
