package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// calmInterval is how often nodes report while a service has spare capacity. With 410 nodes
	// that is 410 short calls a second at the coordinator.
	calmInterval = time.Second
	// busyInterval is the same under load: a third of a burst's first second, so that a queue
	// of 24 requests does not fill before the nodes know.
	busyInterval = 250 * time.Millisecond
	// mostReports bounds the reports that a coordinator takes in a second. Under load 295 nodes
	// report each 0.5 s by it.
	mostReports = 600
	// replanInterval is the least time between two plans.
	replanInterval = 50 * time.Millisecond
	// reportLifetime is how long the last report of a node counts. A node that is lost sends no
	// report that says so.
	reportLifetime = 2500 * time.Millisecond
	// busyFullness is how full a service must be for nodes to report at the interval for load.
	busyFullness = 0.8
	// entryFullness is the mean fullness from which requests may be refused. At 0.8 of what back
	// ends can do, chosen by weight alone, it is about 1; each refusal below is one for nothing.
	entryFullness = 1.5
	// notableFullness is the fullness from which a plan names a back end.
	notableFullness = 0.5
	// mostNamed is how many back ends a plan names at most. Where each of a thousand has few requests, all seem
	// to differ, and plans that name them all grow with the service, for each node and second.
	mostNamed = 32
	// notableWeight is how far from 1 a weight is that a plan names.
	notableWeight = 0.1
	// shortestRetryAfter and longestRetryAfter bound when a caller comes back. The first is
	// above the age of a plan, the second above what callers wait.
	shortestRetryAfter = 500 * time.Millisecond
	longestRetryAfter  = 5 * time.Second
)

// Options are the parts of a Controller.
type Options struct {
	// Slots returns how many requests each back end of a service that takes new work works on
	// at once, by identifier.
	Slots func(service string) map[string]int
	// Nodes returns how many nodes may report.
	Nodes func() int
}

// Controller makes the plans of the services that its node coordinates. It answers a load above
// what the back ends can do, by which every request would wait in their queues until all of
// them are late. It is safe for concurrent use.
type Controller struct {
	options Options

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what is known of one service.
type serviceState struct {
	reports  map[string]heldReport
	backends map[string]*backendModel
	repeats  repeats
	plan     Plan
	planned  bool
	// capacity is how many requests a second the back ends together are to be given, offered
	// how many callers sent, and fullness the mean fullness, all as of the plan.
	capacity, offered, fullness float64
	// plannedAt is when the plan was made.
	plannedAt time.Duration
	// overloaded is set while not all requests are admitted, since overloadedSince.
	overloaded      bool
	overloadedSince time.Duration
}

// heldReport is the last report of a node.
type heldReport struct {
	report Report
	at     time.Duration
}

// NewController returns a controller that has seen no report.
func NewController(options Options) *Controller {
	return &Controller{options: options, services: map[string]*serviceState{}}
}

// HandleReport takes a report in and returns the plan for its sender.
func (c *Controller) HandleReport(now time.Duration, report Report) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.services[report.Service]
	if state == nil {
		state = &serviceState{reports: map[string]heldReport{}, backends: map[string]*backendModel{}}
		c.services[report.Service] = state
	}
	state.reports[report.Holder] = heldReport{report, now}
	if !state.planned || now-state.plannedAt >= replanInterval {
		state.replan(now, c.options.Slots(report.Service), c.options.Nodes())
	}
	return state.plan
}

// State is how a service stands, as of its last plan.
type State struct {
	Plan Plan
	// Offered and Capacity are requests a second: what callers send, and what is admitted at most.
	Offered, Capacity float64
	// Utilization is how many requests the back ends have, as a share of their slots.
	Utilization float64
	// Holders is how many nodes have reported lately.
	Holders int
}

// States returns how the services stand whose load is notable, by their names.
func (c *Controller) States(now time.Duration) map[string]State {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]State{}
	for name, known := range c.services {
		if now-known.plannedAt <= reportLifetime && known.plan.Interval < calmInterval {
			states[name] = State{
				Plan: known.plan, Offered: known.offered, Capacity: known.capacity, Utilization: known.fullness, Holders: len(known.reports),
			}
		}
	}
	return states
}

// replan makes a new plan.
func (s *serviceState) replan(now time.Duration, slots map[string]int, nodes int) {
	sum := s.totals(now)
	elapsed := now - s.plannedAt
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	s.repeats.observe(&sum, elapsed)
	s.plannedAt, s.planned = now, true
	shares := make(map[string]float64, len(slots))
	fullness := make(map[string]float64, len(slots))
	capacity, share := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(slots)) {
		places := float64(max(1, slots[id]))
		seen := sum.backends[id]
		if seen == nil {
			seen = &backendTotals{}
		}
		model := s.model(id)
		model.observe(*seen, places, weight)
		fullness[id] = seen.load(places) / places
		if model.perRequest > 0 {
			rate := model.rate(*seen, places, sum.objective)
			capacity += rate
			// What fails at one back end may be answered by another.
			sound := (1 - model.failing) * (1 - model.failing)
			shares[id] = rate * max(leastShare, sound)
			share += shares[id]
		}
	}
	for id := range s.backends {
		if _, listed := slots[id]; !listed {
			delete(s.backends, id)
		}
	}
	known := float64(len(shares))
	if known == 0 {
		s.plan = openPlan()
		return
	}
	// A back end of which nothing is known is taken for an average one.
	s.capacity = capacity / known * float64(len(slots)) / s.repeats.perRequest()
	s.offered, s.fullness = sum.firstTries+sum.retries, meanOf(fullness)
	s.admit(now, sum)
	s.weigh(shares, fullness, share/known, nodes)
}

// meanOf returns the mean of the values.
func meanOf(values map[string]float64) float64 {
	sum := 0.0
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sum += values[key]
	}
	return sum / float64(len(values))
}

// model returns what is learned of a back end.
func (s *serviceState) model(id string) *backendModel {
	known := s.backends[id]
	if known == nil {
		known = &backendModel{}
		s.backends[id] = known
	}
	return known
}

// admit decides which shares of the requests are admitted: first tries before retries, because
// only a first try can still be in time. Nothing is refused before requests queue: the mean
// fullness of the back ends tells.
func (s *serviceState) admit(now time.Duration, sum totals) {
	s.plan.FirstAttempts, s.plan.Retries, s.plan.RetryAfter = 1, 1, 0
	queued := s.overloaded || s.fullness >= entryFullness
	if !queued || s.offered <= s.capacity {
		s.overloaded = false
		return
	}
	if !s.overloaded {
		s.overloaded, s.overloadedSince = true, now
	}
	if sum.firstTries > 0 {
		s.plan.FirstAttempts = min(1, s.capacity/sum.firstTries)
	}
	if sum.retries > 0 {
		left := s.capacity - s.plan.FirstAttempts*sum.firstTries
		s.plan.Retries = min(1, max(0, left/sum.retries))
	}
	// Nobody knows how long an overload lasts. One that has lasted for some time is expected
	// to last as long again.
	s.plan.RetryAfter = min(max(now-s.overloadedSince, shortestRetryAfter), longestRetryAfter)
}

// weigh states how the back ends differ, and when nodes report again.
func (s *serviceState) weigh(shares, fullness map[string]float64, mean float64, nodes int) {
	s.plan.Backends, s.plan.RestUtilization = nil, 0
	fullest := 0.0
	for _, id := range slices.Sorted(maps.Keys(fullness)) {
		full, weight := fullness[id], 1.0
		if share, known := shares[id]; known {
			weight = share / mean
		}
		fullest = max(fullest, full)
		if math.Abs(weight-1) >= notableWeight || full >= notableFullness {
			s.plan.Backends = append(s.plan.Backends, BackendPlan{ID: id, Weight: weight, Utilization: full})
		}
	}
	if len(s.plan.Backends) > mostNamed {
		s.plan.Backends = mostProminent(s.plan.Backends)
		s.plan.RestUtilization = meanOfRest(fullness, s.plan.Backends)
	}
	s.plan.Interval = calmInterval
	if s.overloaded || fullest >= busyFullness {
		s.plan.Interval = max(busyInterval, time.Duration(nodes)*time.Second/mostReports)
	}
}

// mostProminent returns those that differ most, in the order of their identifiers.
func mostProminent(backends []BackendPlan) []BackendPlan {
	slices.SortStableFunc(backends, func(a, b BackendPlan) int { return cmp.Compare(b.prominence(), a.prominence()) })
	named := slices.Clone(backends[:mostNamed])
	slices.SortFunc(named, func(a, b BackendPlan) int { return cmp.Compare(a.ID, b.ID) })
	return named
}

// meanOfRest returns the mean fullness of the back ends that are not named.
func meanOfRest(fullness map[string]float64, named []BackendPlan) float64 {
	rest := maps.Clone(fullness)
	for _, described := range named {
		delete(rest, described.ID)
	}
	return meanOf(rest)
}
