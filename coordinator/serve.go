package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

// keepServing tries those that wait at intervals until none does; the lock is held. One timer a
// service does it: a timer for each that waits costs a coordinator 25 wake-ups a second for each
// of some hundreds.
func (c *Coordinator) keepServing(service string, current *serviceState) {
	if current.serving {
		return
	}
	current.serving = true
	time.AfterFunc(retryInterval, func() { c.serveWaiting(service) })
}

// serveWaiting tries those that wait once.
func (c *Coordinator) serveWaiting(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.state(service)
	c.serve(service, current, triesOfInterval)
	current.serving = false
	if len(current.waiting) > 0 {
		c.keepServing(service, current)
	}
}

// serve gives engines to those that wait, first attempts first, then by urgency and in the
// order of arrival; the lock is held. First attempts can still be in time, while a caller that was
// refused before is late whenever it is served. A request that does not fit lets smaller
// ones pass. After so many that do not fit, the others are left for the next interval: each
// costs a look at all engines, and a coordinator that is busy with that misses calls.
func (c *Coordinator) serve(service string, current *serviceState, tries int) {
	if len(current.waiting) == 0 {
		return
	}
	now := c.options.Now()
	current.decode.SetCoverage(c.coverage(now, current))
	current.decode.SetOutputDeviation(current.output.RelativeDeviation())
	slices.SortStableFunc(current.waiting, byRank)
	var still []*waiter
	var failed []ledger.Run
	round := servingRound{coordinator: c, service: service, current: current, now: now}
	for _, queued := range current.waiting {
		run := queued.request.Run
		if len(failed) >= tries || len(queued.request.Avoid) == 0 && isLarger(run, failed) {
			still = append(still, queued)
			continue
		}
		assignment, ok := round.assign(queued)
		if !ok {
			failed = append(failed, run)
			still = append(still, queued)
			continue
		}
		c.countDemand(now, current, queued.request)
		queued.assigned <- assignment
	}
	current.waiting = still
}

// servingRound gives engines to those that wait, once.
type servingRound struct {
	coordinator *Coordinator
	service     string
	current     *serviceState
	now         time.Duration
	// all are all engines, once a request has found none among a few.
	all *Engines
}

// assign gives engines to one request: among a few that are drawn for it, and among all where none of these
// can take it. Once that was so for one request, the next ones look at all at once.
func (r *servingRound) assign(queued *waiter) (Assignment, bool) {
	options := r.coordinator.options
	if r.all == nil && options.Shortlist != nil {
		few := r.soundOf(options.Shortlist(r.service, options.ZoneOf(queued.request.Run.Holder)))
		assignment, ok := r.assignAmong(few, queued)
		if few.Complete {
			r.all = &few
		}
		if ok || few.Complete {
			return assignment, ok
		}
	}
	if r.all == nil {
		all := r.soundOf(options.Engines(r.service))
		r.all = &all
	}
	return r.assignAmong(*r.all, queued)
}

func (r *servingRound) soundOf(engines Engines) Engines {
	return soundOf(r.now, &r.current.health, engines)
}

func (r *servingRound) assignAmong(engines Engines, queued *waiter) (Assignment, bool) {
	r.current.decode.SetEngines(engines.Decode)
	return r.coordinator.assign(r.now, r.current, engines, queued)
}

// byRank is the order in which those that wait are served: first attempts, more urgent tenants,
// tenants that are not above their usual, more urgent routes, earlier arrivals. A tenant that
// sends many times its usual fills the queue up to its limit; others pass it.
func byRank(a, b *waiter) int {
	return cmp.Or(
		lastWhere(a.request.Late, b.request.Late),
		cmp.Compare(a.request.TenantPriority, b.request.TenantPriority),
		lastWhere(a.request.AboveUsual, b.request.AboveUsual),
		cmp.Compare(a.request.Priority, b.request.Priority),
		cmp.Compare(a.since, b.since),
	)
}

// lastWhere orders two by a condition: the one for which it holds comes last.
func lastWhere(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// soundOf returns the engines that have not failed lately.
func soundOf(now time.Duration, health *engineHealth, all Engines) Engines {
	if len(health.engines) == 0 {
		return all
	}
	return Engines{
		Decode:   slices.DeleteFunc(all.Decode, func(engine ledger.Engine) bool { return !health.sound(now, engine.ID) }),
		Prefill:  slices.DeleteFunc(all.Prefill, func(id string) bool { return !health.sound(now, id) }),
		Complete: all.Complete,
		ZoneOf:   all.ZoneOf,
	}
}

// isLarger reports whether a run is at least as large as one that did not fit.
func isLarger(run ledger.Run, failed []ledger.Run) bool {
	for _, smaller := range failed {
		if run.Prompt >= smaller.Prompt && run.Output >= smaller.Output {
			return true
		}
	}
	return false
}
