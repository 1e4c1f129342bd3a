package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

// scheduleServe sets a timer that serves waiting requests, at intervals until none is left; the
// lock is held. There is one timer per service: a timer per request would cost a coordinator 25
// wake-ups a second for each of several hundred requests.
func (c *Coordinator) scheduleServe(service string, current *serviceState) {
	if current.serveScheduled {
		return
	}
	current.serveScheduled = true
	time.AfterFunc(serveInterval, func() { c.serveOnInterval(service) })
}

// serveOnInterval serves waiting requests once and sets the next timer.
func (c *Coordinator) serveOnInterval(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	c.serve(service, current, attemptsPerInterval)
	current.serveScheduled = false
	if len(current.waiting) > 0 {
		c.scheduleServe(service, current)
	}
}

// serve assigns engines to waiting requests, first attempts first, then by priority and in the
// order of arrival; the lock is held. First attempts can still meet their objective, while a retry
// after a rejection cannot. Smaller requests pass one that does not fit. Once the given number of
// requests did not fit, the others are left for the next interval: each try checks all engines, and
// a coordinator that is busy with these checks misses calls.
func (c *Coordinator) serve(service string, current *serviceState, attempts int) {
	if len(current.waiting) == 0 {
		return
	}
	now := c.options.Now()
	current.decode.SetCoverage(c.coverage(now, current))
	current.decode.SetOutputDeviation(current.output.RelativeDeviation())
	slices.SortStableFunc(current.waiting, compareRank)
	var waiting []*waiter
	var unassigned []ledger.Run
	round := servingRound{coordinator: c, service: service, current: current, now: now}
	for _, queued := range current.waiting {
		run := queued.request.Run
		if len(unassigned) >= attempts || len(queued.request.Avoid) == 0 && isLarger(run, unassigned) {
			waiting = append(waiting, queued)
			continue
		}
		assignment, ok := round.assign(queued)
		if !ok {
			unassigned = append(unassigned, run)
			waiting = append(waiting, queued)
			continue
		}
		c.countDemand(now, current, queued.request)
		queued.assigned <- assignment
	}
	current.waiting = waiting
}

// servingRound is one pass over the waiting requests.
type servingRound struct {
	coordinator *Coordinator
	service     string
	current     *serviceState
	now         time.Duration
	// all is set to all engines once no engine of a shortlist fitted a request, or once a shortlist
	// was complete.
	all *Engines
}

// assign assigns engines to one request: from its shortlist, or from all engines if none of the
// shortlist fits. After a shortlist did not suffice, later requests of the round use all engines
// directly.
func (r *servingRound) assign(queued *waiter) (Assignment, bool) {
	options := r.coordinator.options
	if r.all == nil && options.Shortlist != nil {
		shortlist := r.healthyOf(options.Shortlist(r.service, options.ZoneOf(queued.request.Run.Holder)))
		assignment, ok := r.assignAmong(shortlist, queued)
		if shortlist.Complete {
			r.all = &shortlist
		}
		if ok || shortlist.Complete {
			return assignment, ok
		}
	}
	if r.all == nil {
		all := r.healthyOf(options.Engines(r.service))
		r.all = &all
	}
	return r.assignAmong(*r.all, queued)
}

func (r *servingRound) healthyOf(engines Engines) Engines {
	return healthyOf(r.now, &r.current.health, engines)
}

func (r *servingRound) assignAmong(engines Engines, queued *waiter) (Assignment, bool) {
	r.current.decode.SetEngines(engines.Decode)
	return r.coordinator.assign(r.now, r.current, engines, queued)
}

// compareRank orders waiting requests: first attempts, then higher tenant priority, then tenants
// that are not near their limit, then higher route priority, then earlier arrivals. A tenant that
// sends many times its usual load fills the queue up to its limit, so the requests of other tenants
// pass its requests.
func compareRank(a, b *waiter) int {
	return cmp.Or(
		trueLast(a.request.Late, b.request.Late),
		cmp.Compare(a.request.TenantPriority, b.request.TenantPriority),
		trueLast(a.request.AboveUsual, b.request.AboveUsual),
		cmp.Compare(a.request.Priority, b.request.Priority),
		cmp.Compare(a.since, b.since),
	)
}

// trueLast compares two booleans; false is less than true.
func trueLast(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// healthyOf returns the engines that have not failed recently.
func healthyOf(now time.Duration, health *engineHealth, all Engines) Engines {
	if len(health.engines) == 0 {
		return all
	}
	return Engines{
		Decode:   slices.DeleteFunc(all.Decode, func(engine ledger.Engine) bool { return !health.healthy(now, engine.ID) }),
		Prefill:  slices.DeleteFunc(all.Prefill, func(id string) bool { return !health.healthy(now, id) }),
		Complete: all.Complete,
		ZoneOf:   all.ZoneOf,
	}
}

// isLarger reports whether a run is at least as large as one that did not fit.
func isLarger(run ledger.Run, unassigned []ledger.Run) bool {
	for _, smaller := range unassigned {
		if run.Prompt >= smaller.Prompt && run.Output >= smaller.Output {
			return true
		}
	}
	return false
}
