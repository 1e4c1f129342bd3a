package owner

import (
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
)

// report is what one engine holds, as listed by itself.
type report struct {
	engine  string
	streams []engine.StreamStatus
	// role is what the engine says of itself, or empty if it was not asked.
	role api.Role
	err  error
}

// orphan is a stream whose caller is gone.
type orphan struct {
	engine  string
	attempt engine.Attempt
}

// holderState tells what is known of the node that holds a stream.
type holderState struct {
	// isGone reports that the node's start has ended.
	isGone func(engine.Holder) bool
	// majority states that this node hears most of its zone, so that it may
	// trust its view of a node whose connections still stand.
	majority bool
}

// inspect books streams that the pool did not know, drops bookings that are
// gone, and returns the streams to cancel.
func (p *pool) inspect(reports []report, holders holderState, window time.Duration, suspects map[orphan]time.Time) []orphan {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	listed, silent := map[string]bool{}, map[string]bool{}
	var cancels []orphan
	for _, listing := range reports {
		if listing.role != "" {
			p.reported[listing.engine] = listing.role
		}
		p.books.SetReady(listing.engine, listing.err == nil && p.isInRole(listing.engine))
		silent[listing.engine] = listing.err != nil
		for _, status := range listing.streams {
			id := grantID(status.RequestID, status.Number)
			listed[id] = true
			p.book(now, id, listing.engine, status)
			suspect := orphan{engine: listing.engine, attempt: status.Attempt}
			if p.isOrphan(suspect, status, holders, window, suspects, now) {
				cancels = append(cancels, suspect)
			}
		}
	}
	p.dropLost(now, listed, silent, holders, window)
	p.schedule()
	return cancels
}

// book adds a decode stream that nobody has reported.
func (p *pool) book(now time.Time, id, engineName string, status engine.StreamStatus) {
	if known, ok := p.bookings[id]; ok {
		known.seen = now
		return
	}
	if status.MaxTokens <= 1 || status.Phase != "decode" {
		return
	}
	request := streamRequest(p.since(), status)
	p.bookings[id] = &booking{request: request, holder: status.Holder, decode: engineName, seen: now, foreign: true}
	p.books.Restore(request, "", engineName)
	p.metrics.Add("streams_adopted", 1)
}

// isOrphan decides whether a stream's caller is gone. The holder must have been
// gone for the resume window without a break, in which another node may take
// the stream over. A stream that a connection still reads belongs to a holder
// that may merely be cut off from this node; it is cancelled after twice the
// window, and only if this node hears most of its zone.
func (p *pool) isOrphan(suspect orphan, status engine.StreamStatus, holders holderState, window time.Duration, suspects map[orphan]time.Time, now time.Time) bool {
	if !holders.isGone(status.Holder) {
		delete(suspects, suspect)
		return false
	}
	if status.Attached {
		window *= 2
		if !holders.majority {
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

// strandedAfter is when a grant that no engine holds counts as lost although its
// holder lives: the message that returned it has not arrived.
const strandedAfter = 15 * time.Second

// dropLost frees bookings that no engine holds: those whose holder is gone,
// adopted ones that have ended, and those that were never returned.
func (p *pool) dropLost(now time.Time, listed, silent map[string]bool, holders holderState, window time.Duration) {
	for id, booked := range p.bookings {
		if listed[id] || silent[booked.prefill] || silent[booked.decode] {
			booked.seen = now
			continue
		}
		if now.Sub(booked.seen) < booked.patience(holders, window) {
			continue
		}
		delete(p.bookings, id)
		if !p.books.Withdraw(booked.request) {
			p.books.Finished(p.since(), id, -1)
		}
		p.metrics.Add("bookings_dropped", 1)
	}
}

// patience is how long a booking is kept without a sign of it.
func (b *booking) patience(holders holderState, window time.Duration) time.Duration {
	switch {
	case b.foreign:
		return 0
	case holders.isGone(b.holder):
		return window
	case b.prefill == "" && b.decode == "":
		// The request waits in the queue, which refuses it in time.
		return time.Hour
	default:
		return strandedAfter
	}
}
