package owner

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// engineReport is what one engine reports of its streams and role.
type engineReport struct {
	engine  string
	streams []engine.StreamStatus
	// role is the reported role, or empty if it was not requested.
	role api.Role
	err  error
}

// orphan is a stream whose holder has terminated.
type orphan struct {
	engine  string
	attempt engine.Attempt
}

// holderState is this node's view of the nodes that hold streams.
type holderState struct {
	// isTerminated reports that the node's incarnation has ended.
	isTerminated func(engine.Holder) bool
	// seesMajority is set if this node has contact with most of its zone, so that it can tell a
	// terminated node from one that only this node cannot reach.
	seesMajority bool
}

// inspect compares the bookings with what the engines report: it adopts streams without a booking,
// drops lost bookings, and returns the streams to cancel.
func (p *pool) inspect(reports []engineReport, holders holderState, window time.Duration, suspects map[orphan]time.Time) []orphan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	listed, unresponsive := map[string]bool{}, map[string]bool{}
	var cancels []orphan
	for _, report := range reports {
		if report.role != "" {
			p.reported[report.engine] = report.role
		}
		p.scheduler.SetReady(report.engine, report.err == nil && p.isInRole(report.engine))
		unresponsive[report.engine] = report.err != nil
		for _, status := range report.streams {
			id := grantID(status.RequestID, status.Number)
			listed[id] = true
			p.adopt(now, id, report.engine, status)
			suspect := orphan{engine: report.engine, attempt: status.Attempt}
			if p.isOrphan(suspect, status, holders, window, suspects, now) {
				cancels = append(cancels, suspect)
			}
		}
	}
	p.dropLost(now, listed, unresponsive, holders, window)
	p.schedule()
	return cancels
}

// adopt books a decode stream that no entry node has reported. If the stream has a booking, adopt
// confirms that booking.
func (p *pool) adopt(now time.Time, id, engineName string, status engine.StreamStatus) {
	if existing, ok := p.bookings[id]; ok {
		existing.lastSeen = now
		return
	}
	if status.MaxTokens <= 1 || status.Phase != "decode" {
		return
	}
	request := streamRequest(p.elapsed(), status)
	p.bookings[id] = &booking{request: request, holder: status.Holder, decode: engineName, lastSeen: now, adopted: true}
	p.scheduler.Restore(request, "", engineName)
	p.metrics.Add("streams_adopted", 1)
}

// isOrphan reports whether a stream is orphaned. Its holder must have been terminated for the whole
// resume window, in which another node may take the stream over. A stream that a connection still
// reads belongs to a holder that may merely be unreachable from this node; it is cancelled after
// twice the window, and only if this node has contact with most of its zone.
func (p *pool) isOrphan(suspect orphan, status engine.StreamStatus, holders holderState, window time.Duration, suspects map[orphan]time.Time, now time.Time) bool {
	if !holders.isTerminated(status.Holder) {
		delete(suspects, suspect)
		return false
	}
	if status.Attached {
		window *= 2
		if !holders.seesMajority {
			delete(suspects, suspect)
			return false
		}
	}
	since, known := suspects[suspect]
	if !known {
		suspects[suspect] = now
		return false
	}
	return now.Sub(since) >= window
}

// unreturnedTimeout is the time after which a grant that no engine holds counts as lost although
// its holder is alive: the message that returned it did not arrive.
const unreturnedTimeout = 15 * time.Second

// dropLost frees bookings that no engine holds: those whose holder has terminated, adopted ones
// that have ended, and those that were never returned.
func (p *pool) dropLost(now time.Time, listed, unresponsive map[string]bool, holders holderState, window time.Duration) {
	for id, booked := range p.bookings {
		if listed[id] || unresponsive[booked.prefill] || unresponsive[booked.decode] {
			booked.lastSeen = now
			continue
		}
		if now.Sub(booked.lastSeen) < booked.lossTimeout(holders, window) {
			continue
		}
		delete(p.bookings, id)
		if !p.scheduler.Withdraw(booked.request) {
			p.scheduler.Finished(p.elapsed(), id, -1)
		}
		p.metrics.Add("bookings_dropped", 1)
	}
}

// lossTimeout is how long a booking is kept while no engine reports it.
func (b *booking) lossTimeout(holders holderState, window time.Duration) time.Duration {
	switch {
	case b.adopted:
		return 0
	case holders.isTerminated(b.holder):
		return window
	case b.prefill == "" && b.decode == "":
		// The request waits in the queue, which rejects the request once it cannot be in time.
		return time.Hour
	default:
		return unreturnedTimeout
	}
}
