package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/reelrun/reelrun/backend"
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
	slices.SortStableFunc(current.waiting, current.compareRank)
	var waiting []*waiter
	var unassigned []*Request
	round := servingRound{coordinator: c, service: service, current: current, now: now}
	for _, queued := range current.waiting {
		if len(unassigned) >= attempts || len(queued.request.Avoid) == 0 && isLarger(queued.request, unassigned) {
			waiting = append(waiting, queued)
			continue
		}
		assignment, ok := round.assign(queued)
		if !ok {
			unassigned = append(unassigned, queued.request)
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
	// all is set to all engines, by version, once no engine of a shortlist fitted a request, or once a shortlist
	// was complete.
	all []versionGroup
}

// assign assigns engines to one request: from its shortlist, or from all engines if none of the
// shortlist fits. After a shortlist did not suffice, later requests of the round use all engines
// directly.
func (r *servingRound) assign(queued *waiter) (Assignment, bool) {
	options := r.coordinator.options
	if r.all == nil && options.Shortlist != nil {
		listed := options.Shortlist(r.service, options.ZoneOf(queued.request.Run.Holder))
		shortlist := r.healthyGroups(listed)
		assignment, ok := r.assignAmong(shortlist, queued)
		if listed.Complete {
			r.all = shortlist
		}
		if ok || listed.Complete {
			return assignment, ok
		}
	}
	if r.all == nil {
		r.all = r.healthyGroups(options.Engines(r.service))
	}
	return r.assignAmong(r.all, queued)
}

// healthyGroups returns the engines that have not failed recently, by version. The result is not nil.
func (r *servingRound) healthyGroups(engines Engines) []versionGroup {
	groups := groupByVersion(healthyOf(r.now, &r.current.health, engines))
	if len(groups) > 1 || engines.Complete {
		// A sample may lack the version that few engines have.
		r.current.hasVersions = len(groups) > 1
	}
	return groups
}

// assignAmong assigns engines of one software version.
func (r *servingRound) assignAmong(groups []versionGroup, queued *waiter) (Assignment, bool) {
	candidates := candidateGroups(r.now, groups, r.current.decode, queued.request.Version)
	if len(candidates) == 0 {
		r.current.shortRole = backend.RoleDecode
	}
	for _, group := range candidates {
		r.current.decode.SetEngines(group.engines.Decode)
		if group.isScarce && !r.current.decode.Fits(r.now, withCapacityForAnother(queued.request.Run)) {
			continue
		}
		if assignment, ok := r.coordinator.assign(r.now, r.current, group.engines, queued); ok {
			return assignment, true
		}
	}
	return Assignment{}, false
}

// compareRank orders waiting requests: first attempts, then higher tenant priority, then tenants
// that are not near their limit, then requests that only one of several software versions can
// serve, then higher route priority, then earlier arrivals. A tenant that sends many times its
// usual load fills the queue up to its limit, so the requests of other tenants pass its requests. A
// request that needs one version can use a part of the capacity only, which others would take too.
func (s *serviceState) compareRank(a, b *waiter) int {
	return cmp.Or(
		trueLast(s.ranksLate(a.request), s.ranksLate(b.request)),
		cmp.Compare(a.request.TenantPriority, b.request.TenantPriority),
		trueLast(a.request.AboveUsual, b.request.AboveUsual),
		trueLast(!s.needsOneOfSeveral(a.request), !s.needsOneOfSeveral(b.request)),
		cmp.Compare(a.request.Priority, b.request.Priority),
		cmp.Compare(a.since, b.since),
	)
}

// ranksLate reports whether a request is served after the first attempts. One that needs one of
// several versions is not: the first attempts would fill the engines of its version, although they
// can be served by others.
func (s *serviceState) ranksLate(request *Request) bool {
	return request.Late && !s.needsOneOfSeveral(request)
}

// needsOneOfSeveral reports whether a request can only be served at one of several versions.
func (s *serviceState) needsOneOfSeveral(request *Request) bool {
	_, required := request.Version.Version()
	return required && s.hasVersions
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
	healthy := all
	healthy.Decode = slices.DeleteFunc(all.Decode, func(engine ledger.Engine) bool { return !health.healthy(now, engine.ID) })
	healthy.Prefill = slices.DeleteFunc(all.Prefill, func(id string) bool { return !health.healthy(now, id) })
	return healthy
}

// isLarger reports whether the run of a request is at least as large as one that did not fit, at the same versions.
func isLarger(request *Request, unassigned []*Request) bool {
	for _, smaller := range unassigned {
		if request.Version == smaller.Version && request.Run.Prompt >= smaller.Run.Prompt && request.Run.Output >= smaller.Run.Output {
			return true
		}
	}
	return false
}
