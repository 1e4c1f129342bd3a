package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
)

// Engines are the engines of a service that accept new work.
type Engines struct {
	Decode  []ledger.Engine
	Prefill []string
	// Complete is set if these are all engines of the service.
	Complete bool
	// ZoneOf returns the zone of an engine, empty if unknown. If ZoneOf is nil, zones are ignored.
	ZoneOf func(engine string) string
	// Versions are the distinct versions of the engines' software, sorted, and VersionOf returns that of an engine. If
	// Versions is empty, all engines have the empty version.
	Versions  []string
	VersionOf func(engine string) string
}

// zoneOf returns the zone of an engine, empty if unknown.
func (e Engines) zoneOf(engine string) string {
	if e.ZoneOf == nil {
		return ""
	}
	return e.ZoneOf(engine)
}

// Options configure a Coordinator.
type Options struct {
	// Engines returns all engines of a service.
	Engines func(service string) Engines
	// Shortlist returns a sample of the engines of a service for a node in a zone. Assignment tries
	// the sample first, and all engines only if none of the sample fits, so that the cost of an
	// assignment does not depend on the number of engines. Default: all engines are tried.
	Shortlist func(service, zone string) Engines
	// ZoneOf returns the zone of the node at an address, empty if unknown. Default: always unknown.
	ZoneOf func(address string) string
	// Nodes returns the number of nodes that may have runs.
	Nodes func() int
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Ledger configures the ledgers.
	Ledger ledger.Options
	// FirstToken is the time from the end of the prefill to the first token. Default 80ms.
	FirstToken time.Duration
}

const (
	defaultFirstToken = 80 * time.Millisecond
	// coverageWindow is how long the last sync of a node is relied on. Nodes sync each second.
	coverageWindow = 2500 * time.Millisecond
	// minCoverage is the lower bound of the estimated share of the runs that the ledger tracks.
	minCoverage = 0.3
	// serveInterval is the time between attempts to serve waiting requests while no run ends.
	serveInterval = 40 * time.Millisecond
	// attemptsPerEvent and attemptsPerInterval bound how many requests that do not fit are tried
	// when a run ends and once per interval. Without these bounds, a coordinator with 60 engines
	// and 100 waiting requests missed 231 calls in one burst; docs/KYKLOS.md has the figures.
	attemptsPerEvent    = 6
	attemptsPerInterval = 48
	// recentPrefillWindow is the time after a finished prefill in which the timeout of another
	// prompt does not count as a failure of the engine: about the time that the longest prompts
	// take.
	recentPrefillWindow = 500 * time.Millisecond
	// initialLocalPrefillFactor is the initial estimate of how much longer a prefill takes on a
	// decode engine than on a prefill engine: the decode engine prefills at half the rate, in
	// smaller chunks, between the decode steps of its runs. The first observed local prefill
	// replaces the estimate.
	initialLocalPrefillFactor = 3
	// localPrefillMemoryShare is the share of decode memory in use up to which decode engines take
	// prompts that prefill engines cannot serve in time. Above it the decode engines are loaded as
	// well, and the role allocation is not the cause of the shortage; docs/KYKLOS.md has the
	// figures.
	localPrefillMemoryShare = 0.5
)

// Coordinator keeps the ledgers of the services that this node coordinates. It is safe for
// concurrent use.
type Coordinator struct {
	options Options

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is the coordinator's state of one service.
type serviceState struct {
	decode  *ledger.Ledger
	prefill *prefillQueue
	// localPrefill tracks the prompts that decode engines prefill themselves.
	localPrefill *prefillQueue
	// health tracks the engines that failed recently.
	health  engineHealth
	waiting []*waiter
	// output estimates the output lengths of runs.
	output estimate.OutputLength
	// retries spreads client retries over time.
	retries retrySchedule
	// completions counts runs that end, and arrivals counts first attempts.
	completions, arrivals rateMeter
	// hasVersions is set while the engines have several software versions.
	hasVersions bool
	// serveScheduled is set while a timer is set to serve waiting requests.
	serveScheduled bool
	// demand measures how many engines of each role recent requests keep busy.
	demand demandMeter
	// utilization learns how much of the decode memory can be used.
	utilization utilizationMeter
	// shortRole is the role that was short of engines for the last request that could not be
	// served.
	shortRole backend.Role
}

// waiter is a request that waits for engines.
type waiter struct {
	request *Request
	// since is when the request arrived.
	since time.Duration
	// maxWait is how long the request may wait; zero if it must not wait.
	maxWait time.Duration
	// unservable is set if the request cannot be assigned engines within the time that it may wait.
	unservable bool
	assigned   chan Assignment
}

// New returns a coordinator without runs.
func New(options Options) *Coordinator {
	if options.FirstToken == 0 {
		options.FirstToken = defaultFirstToken
	}
	if options.ZoneOf == nil {
		options.ZoneOf = func(string) string { return "" }
	}
	return &Coordinator{options: options, services: map[string]*serviceState{}}
}

// Assign assigns engines to a request, or rejects it and returns the time until capacity is
// expected. A request that cannot be assigned engines in time is rejected at once.
func (c *Coordinator) Assign(ctx context.Context, request *Request) Assignment {
	queued := c.enqueue(request)
	timeout := time.NewTimer(queued.maxWait)
	defer timeout.Stop()
	select {
	case assignment := <-queued.assigned:
		return assignment
	case <-timeout.C:
	case <-ctx.Done():
	}
	return c.cancelWait(queued)
}

// maxWait returns how long a request may wait: for a first attempt, until the prefill can no longer
// end early enough to meet the objective.
func (c *Coordinator) maxWait(current *serviceState, request *Request) time.Duration {
	if request.Late {
		return request.Wait
	}
	prefill := current.prefill.model.Duration("", request.Run.Prompt)
	return min(request.Wait, max(0, request.Objective-prefill-c.options.FirstToken))
}

// enqueue tries to serve a request and queues it if it does not fit. maxWait stays zero for a
// request that cannot be assigned engines in time.
func (c *Coordinator) enqueue(request *Request) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, now := c.state(request.Service), c.options.Now()
	queued := &waiter{request: request, since: now, assigned: make(chan Assignment, 1)}
	if !request.Late && !request.AfterProbe {
		current.arrivals.add(now)
	}
	others := current.waiting
	// The requests already waiting did not fit a moment ago, and an arrival frees no capacity for
	// them.
	current.waiting = []*waiter{queued}
	c.serve(request.Service, current, attemptsPerEvent)
	waits := len(current.waiting) > 0
	current.waiting = others
	if !waits {
		return queued
	}
	maxWait := c.maxWait(current, request)
	queued.unservable = current.load(now, queued).unservable(current.ranksLate(request), maxWait)
	if !queued.unservable && !request.Probe {
		queued.maxWait = maxWait
		c.scheduleServe(request.Service, current)
	}
	current.waiting = append(current.waiting, queued)
	return queued
}

// cancelWait removes a request from the queue and returns its rejection, or its assignment if it
// was served just before.
func (c *Coordinator) cancelWait(cancelled *waiter) Assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case assignment := <-cancelled.assigned:
		return assignment
	default:
	}
	current := c.state(cancelled.request.Service)
	for i, queued := range current.waiting {
		if queued == cancelled {
			current.waiting = append(current.waiting[:i], current.waiting[i+1:]...)
			break
		}
	}
	if cancelled.request.Probe && !cancelled.unservable {
		return Assignment{ShortRole: string(current.shortRole)}
	}
	now := c.options.Now()
	c.countDemand(now, current, cancelled.request)
	return Assignment{RetryAfter: c.retryAfter(now, current, cancelled.request), ShortRole: string(current.shortRole)}
}

// retryAfter returns the time until a rejected client should retry.
func (c *Coordinator) retryAfter(now time.Duration, current *serviceState, request *Request) time.Duration {
	load := current.load(now, &waiter{request: request, since: now})
	wait := load.expectedWait(true)
	if !load.known {
		wait = current.decode.TimeUntilCapacity(now, request.Run)
	}
	return current.retries.next(now, wait, load.completions)
}

// End removes a run from the ledger and serves waiting requests.
func (c *Coordinator) End(result RunResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(result.Service)
	if result.Rejection != RejectionNone {
		current.decode.Rejected(c.options.Now(), result.ID, result.Rejection.pause())
	}
	current.prefill.drop(result.ID)
	current.localPrefill.drop(result.ID)
	if run, known := current.decode.End(result.ID, ledger.OutputTiming{FirstEvent: result.FirstEvent, Duration: result.Duration, RestTokens: result.RestTokens}); known {
		current.output.Observe(run.CallerEstimate, result.Output)
		c.observeOutcome(current, run.Engine, result)
	}
	current.completions.add(c.options.Now())
	c.serve(result.Service, current, attemptsPerEvent)
}

// observeOutcome updates the health of a run's decode engine from the result of the run.
func (c *Coordinator) observeOutcome(current *serviceState, engine string, result RunResult) {
	switch {
	case result.Rejection == RejectionFailed:
		current.health.failed(c.options.Now(), engine)
	case result.Output > 0:
		current.health.succeeded(engine)
	}
}

// EngineFailed records a failure that did not end a run. An engine that timed out but has finished
// other prefills recently counts as busy, not as failed.
func (c *Coordinator) EngineFailed(failure EngineFailure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(failure.Service)
	now := c.options.Now()
	if failure.TimedOut {
		current.prefill.timeOut(now, failure.ID, failure.Engine)
	}
	if failure.TimedOut && current.prefill.hasPrefilledWithin(now, failure.Engine, recentPrefillWindow) {
		return
	}
	current.health.failed(now, failure.Engine)
}

// Sync updates the ledger to the runs that a node reports.
func (c *Coordinator) Sync(service, holder string, runs []ledger.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).decode.Sync(c.options.Now(), holder, runs)
}

// ReportMemoryUse records the memory in use that a decode engine reports.
func (c *Coordinator) ReportMemoryUse(service, engine string, used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).decode.ReportMemoryUse(c.options.Now(), engine, used)
}

// PrefillDone records that an engine has prefilled a run's prompt, and serves waiting requests.
func (c *Coordinator) PrefillDone(service, id, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	current.prefill.complete(c.options.Now(), id, engine)
	current.localPrefill.complete(c.options.Now(), id, engine)
	current.health.succeeded(engine)
	if current.shortRole == backend.RolePrefill {
		c.serve(service, current, attemptsPerEvent)
	}
}

// coverage returns the estimated share of a service's runs that the ledger tracks, which is the
// share of nodes that have synced recently. While nodes disagree on the coordinator, each of two
// coordinators tracks a part of the runs.
func (c *Coordinator) coverage(now time.Duration, current *serviceState) float64 {
	nodes := c.options.Nodes()
	if nodes == 0 {
		return 1
	}
	reporting := current.decode.RecentHolders(now, coverageWindow)
	return min(1, max(minCoverage, float64(reporting)/float64(nodes)))
}

// state returns the state of a service. The caller holds the lock.
func (c *Coordinator) state(service string) *serviceState {
	current := c.services[service]
	if current == nil {
		current = &serviceState{decode: ledger.New(c.options.Ledger), prefill: newPrefillQueue(), localPrefill: newPrefillQueue()}
		c.services[service] = current
	}
	return current
}
