package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/backend"
	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
)

// Engines are those of a service that take new work.
type Engines struct {
	Decode  []ledger.Engine
	Prefill []string
	// Complete is set where these are all engines of the service.
	Complete bool
	// ZoneOf returns the zone of one of them, empty where that is not known. Without it they are alike.
	ZoneOf func(engine string) string
}

// zoneOf returns the zone of an engine, empty where that is not known.
func (e Engines) zoneOf(engine string) string {
	if e.ZoneOf == nil {
		return ""
	}
	return e.ZoneOf(engine)
}

// Options are the parts of a Coordinator.
type Options struct {
	// Engines returns all engines of a service.
	Engines func(service string) Engines
	// Shortlist returns some engines of a service for a node in a zone. They are tried before all are
	// looked at, so that an assignment costs the same however many engines there are. Default: all.
	Shortlist func(service, zone string) Engines
	// ZoneOf returns the zone of the node at an address; empty if that is not known. Default:
	// it never is.
	ZoneOf func(address string) string
	// Nodes returns how many nodes may have runs.
	Nodes func() int
	// Now reads a monotonic clock.
	Now func() time.Duration
	// Ledger are the assumptions of the ledgers.
	Ledger ledger.Options
	// FirstToken is the time from a read prompt to the first token. Default 80ms.
	FirstToken time.Duration
}

const (
	defaultFirstToken = 80 * time.Millisecond
	// coverageTime is how long a coordinator relies on the last sync of a node. Nodes
	// sync each second.
	coverageTime = 2500 * time.Millisecond
	// leastCoverage bounds the share of them that it is taken to know.
	leastCoverage = 0.3
	// retryInterval is how often waiting requests are tried where nothing ends.
	retryInterval = 40 * time.Millisecond
	// triesOfEvent and triesOfInterval are how many requests that do not fit are tried when a
	// run ends and once an interval. With 60 engines and 100 requests that wait, a coordinator
	// without such a bound missed 231 calls in one burst (docs/KYKLOS.md).
	triesOfEvent    = 6
	triesOfInterval = 48
	// busyEvidence is how recently an engine must have read a prompt so that another prompt
	// without an answer says nothing against it: about the time that the longest prompts take.
	busyEvidence = 500 * time.Millisecond
	// firstSelfReadingFactor is the first guess of how much longer than a prefill engine a
	// decode engine takes for a prompt: it reads at half the pace, in smaller pieces, between
	// the tokens of its runs. It is replaced by the first prompt that one has read.
	firstSelfReadingFactor = 3
	// overflowMemoryShare is the share of the memory in use up to which decode engines read
	// prompts for which prefill engines have no time. Above it they have enough to do, and the
	// division of the engines is not what is wrong (docs/KYKLOS.md has the figures).
	overflowMemoryShare = 0.5
)

// Coordinator keeps the ledgers of the services that this node coordinates. It is
// safe for concurrent use.
type Coordinator struct {
	options Options

	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what the coordinator knows of one service.
type serviceState struct {
	decode  *ledger.Ledger
	prefill *prefillQueue
	// selfReading follows the prompts that decode engines read themselves.
	selfReading *prefillQueue
	// health knows the engines that failed lately.
	health  engineHealth
	waiting []*waiter
	// output learns how long answers become.
	output estimate.OutputLength
	// retries spreads the callers that come back.
	retries retrySchedule
	// ends counts runs that end, and arrivals first tries.
	ends, arrivals rateMeter
	// serving is set while those that wait are tried at intervals.
	serving bool
	// demand measures how many engines of each role the requests of late keep busy.
	demand demandMeter
	// fill learns how far decode engines can be filled.
	fill fillMeter
	// short is the role of which there were too few engines for the last request
	// that could not be served.
	short backend.Role
}

// waiter is a request without engines.
type waiter struct {
	request *Request
	since   time.Duration
	// longest is how long it may wait; zero for one that is not to wait.
	longest time.Duration
	// hopeless is set where it would wait in vain.
	hopeless bool
	assigned chan Assignment
}

// New returns a coordinator that knows of no runs.
func New(options Options) *Coordinator {
	if options.FirstToken == 0 {
		options.FirstToken = defaultFirstToken
	}
	if options.ZoneOf == nil {
		options.ZoneOf = func(string) string { return "" }
	}
	return &Coordinator{options: options, services: map[string]*serviceState{}}
}

// Assign gives engines to a request, or returns when capacity is expected. A request that would
// wait in vain is refused at once.
func (c *Coordinator) Assign(ctx context.Context, request *Request) Assignment {
	queued := c.enqueue(request)
	until := time.NewTimer(queued.longest)
	defer until.Stop()
	select {
	case assignment := <-queued.assigned:
		return assignment
	case <-until.C:
	case <-ctx.Done():
	}
	return c.giveUp(queued)
}

// longestWait returns how long a request may wait: a first attempt until its first token could
// not be in time any more, given what reading its prompt takes.
func (c *Coordinator) longestWait(current *serviceState, request *Request) time.Duration {
	if request.Late {
		return request.Wait
	}
	reading := current.prefill.model.Duration("", request.Run.Prompt)
	return min(request.Wait, max(0, request.Objective-reading-c.options.FirstToken))
}

// enqueue tries a request, and lets it wait if it does not fit. How long it may wait is zero
// where it would wait in vain.
func (c *Coordinator) enqueue(request *Request) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, now := c.state(request.Service), c.options.Now()
	queued := &waiter{request: request, since: now, assigned: make(chan Assignment, 1)}
	if !request.Late && !request.Again {
		current.arrivals.add(now)
	}
	others := current.waiting
	// Those that wait did not fit a moment ago: an arrival alone does not free capacity for them.
	current.waiting = []*waiter{queued}
	c.serve(request.Service, current, triesOfEvent)
	waits := len(current.waiting) > 0
	current.waiting = others
	if !waits {
		return queued
	}
	longest := c.longestWait(current, request)
	queued.hopeless = current.load(now, queued).hopeless(request.Late, longest)
	if !queued.hopeless && !request.Probe {
		queued.longest = longest
		c.keepServing(request.Service, current)
	}
	current.waiting = append(current.waiting, queued)
	return queued
}

// giveUp takes a request out of the queue. It may have been served meanwhile.
func (c *Coordinator) giveUp(left *waiter) Assignment {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case assignment := <-left.assigned:
		return assignment
	default:
	}
	current := c.state(left.request.Service)
	for i, queued := range current.waiting {
		if queued == left {
			current.waiting = append(current.waiting[:i], current.waiting[i+1:]...)
			break
		}
	}
	if left.request.Probe && !left.hopeless {
		return Assignment{ShortRole: string(current.short)}
	}
	now := c.options.Now()
	c.countDemand(now, current, left.request)
	return Assignment{RetryAfter: c.retryAfter(now, current, left.request), ShortRole: string(current.short)}
}

// retryAfter returns when a refused caller is to come back.
func (c *Coordinator) retryAfter(now time.Duration, current *serviceState, request *Request) time.Duration {
	load := current.load(now, &waiter{request: request, since: now})
	wait := load.expectedWait(true)
	if !load.known {
		wait = current.decode.TimeUntilCapacity(now, request.Run)
	}
	return current.retries.next(now, wait, load.ends)
}

// End takes a run out of the ledger and serves those that wait.
func (c *Coordinator) End(ended RunResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(ended.Service)
	if ended.Refusal != RefusalNone {
		current.decode.Refused(c.options.Now(), ended.ID, ended.Refusal.pause())
	}
	current.prefill.drop(ended.ID)
	current.selfReading.drop(ended.ID)
	if run, known := current.decode.End(ended.ID, ledger.AnswerTiming{First: ended.FirstEvent, Duration: ended.Duration, Rest: ended.RestTokens}); known {
		current.output.Observe(run.CallerEstimate, ended.Output)
		c.observe(current, run.Engine, ended)
	}
	current.ends.add(c.options.Now())
	c.serve(ended.Service, current, triesOfEvent)
}

// observe notes what the end of a run says of its decode engine.
func (c *Coordinator) observe(current *serviceState, engine string, ended RunResult) {
	switch {
	case ended.Refusal == RefusalFailed:
		current.health.failed(c.options.Now(), engine)
	case ended.Output > 0:
		current.health.answered(engine)
	}
}

// EngineFailed notes a failure that ended no run. A silent engine that has read other
// prompts lately is only busy.
func (c *Coordinator) EngineFailed(failure EngineFailure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(failure.Service)
	now := c.options.Now()
	if failure.TimedOut {
		current.prefill.overrun(now, failure.ID, failure.Engine)
	}
	if failure.TimedOut && current.prefill.readLately(now, failure.Engine, busyEvidence) {
		return
	}
	current.health.failed(now, failure.Engine)
}

// Sync takes over all runs of a node.
func (c *Coordinator) Sync(service, holder string, runs []ledger.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).decode.Sync(c.options.Now(), holder, runs)
}

// ReportMemoryUse takes note of the memory that a decode engine says it uses.
func (c *Coordinator) ReportMemoryUse(service, engine string, used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state(service).decode.ReportMemoryUse(c.options.Now(), engine, used)
}

// PrefillDone notes that an engine has read a run's prompt, and serves those that wait.
func (c *Coordinator) PrefillDone(service, id, engine string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	current.prefill.read(c.options.Now(), id, engine)
	current.selfReading.read(c.options.Now(), id, engine)
	current.health.answered(engine)
	if current.short == backend.RolePrefill {
		c.serve(service, current, triesOfEvent)
	}
}

// coverage returns which share of a service's runs its ledger is taken to know: that
// of the nodes which have synced theirs lately. While nodes differ on who
// coordinates, each of two coordinators knows a part.
func (c *Coordinator) coverage(now time.Duration, current *serviceState) float64 {
	nodes := c.options.Nodes()
	if nodes == 0 {
		return 1
	}
	heard := current.decode.RecentHolders(now, coverageTime)
	return min(1, max(leastCoverage, float64(heard)/float64(nodes)))
}

// state returns what is known of a service; the lock is held.
func (c *Coordinator) state(service string) *serviceState {
	current := c.services[service]
	if current == nil {
		current = &serviceState{decode: ledger.New(c.options.Ledger), prefill: newPrefillQueue(), selfReading: newPrefillQueue()}
		c.services[service] = current
	}
	return current
}
