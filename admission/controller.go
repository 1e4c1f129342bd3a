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
	// normalInterval is how often nodes report while a service has spare capacity. With 410 nodes that is 410
	// short calls a second at the coordinator.
	normalInterval = time.Second
	// busyInterval is the report interval under load: a third of a burst's first second, so that a queue of 24
	// requests does not fill before the nodes learn of it.
	busyInterval = 250 * time.Millisecond
	// maxReportsPerSecond bounds the reports that a coordinator receives. Under load it makes 295 nodes report
	// every 0.5 s.
	maxReportsPerSecond = 600
	// replanInterval is the least time between two plans.
	replanInterval = 50 * time.Millisecond
	// reportLifetime is how long a node's last report counts. A node that fails sends no final report.
	reportLifetime = 2500 * time.Millisecond
	// busyUtilization is the utilization of a backend from which nodes report more often than at normalInterval.
	busyUtilization = 0.8
	// overloadUtilization is the mean utilization from which requests may be rejected. With backends chosen by
	// weight alone, a load of 0.8 of their capacity already gives a mean utilization of about 1; rejecting
	// requests below this threshold has no benefit.
	overloadUtilization = 1.5
	// notableUtilization is the utilization from which a plan lists a backend.
	notableUtilization = 0.5
	// maxNamedBackends bounds the backends that a plan lists. In a service of a thousand backends with few
	// requests each, all seem to differ. Plans that listed all of them would grow with the service, and each
	// node receives one every second.
	maxNamedBackends = 32
	// notableWeightDeviation is the difference of a weight from 1 from which a plan lists a backend.
	notableWeightDeviation = 0.1
	// minRetryAfter and maxRetryAfter bound the delay that rejected callers are given. The minimum is above the
	// age of a plan, the maximum above the time that callers wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Options configures a Controller.
type Options struct {
	// Slots returns the number of concurrent requests of each backend of a service that takes new work, by
	// identifier.
	Slots func(service string) map[string]int
	// Nodes returns how many nodes may report.
	Nodes func() int
}

// Controller computes the plans of the services that its node coordinates. It protects against a load above
// what the backends can serve, under which every request would wait in their queues until all of them are late.
// It is safe for concurrent use.
type Controller struct {
	options Options

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the state of one service.
type serviceState struct {
	reports         map[string]receivedReport
	backends        map[string]*backendModel
	upstreamRetries upstreamRetries
	plan            Plan
	planned         bool
	// capacity is the requests a second that the backends together should receive, offered those that callers
	// send, and utilization the mean utilization of the backends, all as of the plan.
	capacity, offered, utilization float64
	// plannedAt is when the plan was computed.
	plannedAt time.Duration
	// overloaded is set while not all requests are admitted, since overloadedSince.
	overloaded      bool
	overloadedSince time.Duration
}

// receivedReport is the last report of a node.
type receivedReport struct {
	report Report
	at     time.Duration
}

// NewController returns a controller without reports.
func NewController(options Options) *Controller {
	return &Controller{options: options, services: map[string]*serviceState{}}
}

// HandleReport records a report and returns the plan for its sender.
func (c *Controller) HandleReport(now time.Duration, report Report) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.services[report.Service]
	if state == nil {
		state = &serviceState{reports: map[string]receivedReport{}, backends: map[string]*backendModel{}}
		c.services[report.Service] = state
	}
	state.reports[report.Holder] = receivedReport{report, now}
	if !state.planned || now-state.plannedAt >= replanInterval {
		state.replan(now, c.options.Slots(report.Service), c.options.Nodes())
	}
	return state.plan
}

// State is the state of a service as of its last plan.
type State struct {
	Plan Plan
	// Offered and Capacity are requests a second: those that callers send, and the most that are admitted.
	Offered, Capacity float64
	// Utilization is the number of requests at the backends, as a fraction of their slots.
	Utilization float64
	// Holders is the number of nodes that reported recently.
	Holders int
}

// States returns the states of the services under load, by service name.
func (c *Controller) States(now time.Duration) map[string]State {
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]State{}
	for name, state := range c.services {
		if now-state.plannedAt <= reportLifetime && state.plan.Interval < normalInterval {
			states[name] = State{
				Plan: state.plan, Offered: state.offered, Capacity: state.capacity, Utilization: state.utilization, Holders: len(state.reports),
			}
		}
	}
	return states
}

// replan computes a new plan.
func (s *serviceState) replan(now time.Duration, slots map[string]int, nodes int) {
	sum := s.totals(now)
	elapsed := now - s.plannedAt
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	s.upstreamRetries.observe(&sum, elapsed)
	s.plannedAt, s.planned = now, true
	shares := make(map[string]float64, len(slots))
	utilization := make(map[string]float64, len(slots))
	capacity, shareSum := 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(slots)) {
		slotCount := float64(max(1, slots[id]))
		observed := sum.backends[id]
		if observed == nil {
			observed = &backendTotals{}
		}
		model := s.model(id)
		model.observe(*observed, slotCount, weight)
		utilization[id] = observed.load(slotCount) / slotCount
		if model.perRequest > 0 {
			rate := model.rate(*observed, slotCount, sum.objective)
			capacity += rate
			// Squared because a request that fails at one backend may be answered by another.
			successFactor := (1 - model.failureRate) * (1 - model.failureRate)
			shares[id] = rate * max(minCapacityShare, successFactor)
			shareSum += shares[id]
		}
	}
	for id := range s.backends {
		if _, listed := slots[id]; !listed {
			delete(s.backends, id)
		}
	}
	modelled := float64(len(shares))
	if modelled == 0 {
		s.plan = admitAllPlan()
		return
	}
	// A backend without data counts with the mean capacity of the others.
	s.capacity = capacity / modelled * float64(len(slots)) / s.upstreamRetries.perRequest()
	s.offered, s.utilization = sum.firstAttempts+sum.retries, meanOf(utilization)
	s.admit(now, sum)
	s.weigh(shares, utilization, shareSum/modelled, nodes)
}

// meanOf returns the mean of the values.
func meanOf(values map[string]float64) float64 {
	sum := 0.0
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sum += values[key]
	}
	return sum / float64(len(values))
}

// model returns the model of a backend, which it creates if needed.
func (s *serviceState) model(id string) *backendModel {
	model := s.backends[id]
	if model == nil {
		model = &backendModel{}
		s.backends[id] = model
	}
	return model
}

// admit sets the admitted shares: first attempts before client retries, because only a first attempt can still
// be in time. Nothing is rejected before requests queue, which the mean utilization of the backends shows.
func (s *serviceState) admit(now time.Duration, sum totals) {
	s.plan.FirstAttempts, s.plan.Retries, s.plan.RetryAfter = 1, 1, 0
	queued := s.overloaded || s.utilization >= overloadUtilization
	if !queued || s.offered <= s.capacity {
		s.overloaded = false
		return
	}
	if !s.overloaded {
		s.overloaded, s.overloadedSince = true, now
	}
	if sum.firstAttempts > 0 {
		s.plan.FirstAttempts = min(1, s.capacity/sum.firstAttempts)
	}
	if sum.retries > 0 {
		remaining := s.capacity - s.plan.FirstAttempts*sum.firstAttempts
		s.plan.Retries = min(1, max(0, remaining/sum.retries))
	}
	// The length of an overload is unknown. One that has lasted for some time is expected to last as long
	// again.
	s.plan.RetryAfter = min(max(now-s.overloadedSince, minRetryAfter), maxRetryAfter)
}

// weigh sets the backends' weights and the report interval.
func (s *serviceState) weigh(shares, utilization map[string]float64, mean float64, nodes int) {
	s.plan.Backends, s.plan.RestUtilization = nil, 0
	maxUtilization := 0.0
	for _, id := range slices.Sorted(maps.Keys(utilization)) {
		current, weight := utilization[id], 1.0
		if share, modelled := shares[id]; modelled {
			weight = share / mean
		}
		maxUtilization = max(maxUtilization, current)
		if math.Abs(weight-1) >= notableWeightDeviation || current >= notableUtilization {
			s.plan.Backends = append(s.plan.Backends, BackendPlan{ID: id, Weight: weight, Utilization: current})
		}
	}
	if len(s.plan.Backends) > maxNamedBackends {
		s.plan.Backends = mostDeviating(s.plan.Backends)
		s.plan.RestUtilization = meanOfUnnamed(utilization, s.plan.Backends)
	}
	s.plan.Interval = normalInterval
	if s.overloaded || maxUtilization >= busyUtilization {
		s.plan.Interval = max(busyInterval, time.Duration(nodes)*time.Second/maxReportsPerSecond)
	}
}

// mostDeviating returns the backends that deviate most, in the order of their identifiers.
func mostDeviating(backends []BackendPlan) []BackendPlan {
	slices.SortStableFunc(backends, func(a, b BackendPlan) int { return cmp.Compare(b.deviation(), a.deviation()) })
	named := slices.Clone(backends[:maxNamedBackends])
	slices.SortFunc(named, func(a, b BackendPlan) int { return cmp.Compare(a.ID, b.ID) })
	return named
}

// meanOfUnnamed returns the mean utilization of the backends that the plan does not list.
func meanOfUnnamed(utilization map[string]float64, named []BackendPlan) float64 {
	rest := maps.Clone(utilization)
	for _, described := range named {
		delete(rest, described.ID)
	}
	return meanOf(rest)
}
