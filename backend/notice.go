package backend

import "time"

// Notice is what a backend announces about itself together with a response.
type Notice struct {
	// Leaving is set if the backend is about to terminate and takes no new requests.
	Leaving bool
	// Backoff is how long the backend requests that this node sends it nothing; zero if it requests no backoff.
	Backoff time.Duration
	// Limit is the limit of the backend's requests.
	Limit RequestLimit
}

// LimitStatement is what a response states about the limit of its backend's requests.
type LimitStatement int

// Statements of a response.
const (
	// LimitUnstated means that the response does not show whether there is a limit.
	LimitUnstated LimitStatement = iota
	// LimitNone means that the backend has no limit, or none any more.
	LimitNone
	// LimitNamed means that the response names the limit.
	LimitNamed
)

// RequestLimit is the limit of a backend's requests, as stated by a response. The zero value states nothing.
type RequestLimit struct {
	Statement LimitStatement
	// Rate is the number of requests per second that the backend accepts from all nodes together, if it names a
	// limit.
	Rate float64
}

// IsEmpty reports whether the notice announces nothing.
func (n Notice) IsEmpty() bool { return n == Notice{} }

// Observer is called with a backend's notice before the response is used.
type Observer func(target Backend, notice Notice)

// recordNotice records a notice received at a time in Unix milliseconds. It returns the part of it that changed
// the entry.
func (e *Entry) recordNotice(notice Notice, at int64) Notice {
	if notice.IsEmpty() {
		return Notice{}
	}
	changed := Notice{
		Leaving: notice.Leaving && e.recordLeaving(), Backoff: e.recordBackoff(notice.Backoff), Limit: e.recordLimit(notice.Limit),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureObservations().noticeAt = at
	return changed
}

// recordLeaving records that the backend announced that it leaves. It reports whether that is a change.
func (e *Entry) recordLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.announcedLeaving.CompareAndSwap(false, true) {
		return false
	}
	if observed := e.ensureObservations(); observed.leavingAt.IsZero() {
		observed.leavingAt = e.now()
	}
	return true
}

// recordLimit records the limit that a response states. It returns the statement if it changes the limit.
func (e *Entry) recordLimit(stated RequestLimit) RequestLimit {
	if stated.Statement == LimitUnstated {
		return RequestLimit{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	before, limited := e.RequestLimit()
	switch {
	case stated.Statement == LimitNone && !limited, stated.Statement == LimitNamed && limited && before == stated.Rate:
		return RequestLimit{}
	case stated.Statement == LimitNone:
		e.requestLimit.Store(nil)
		e.ensureObservations().limitedUntil = time.Time{}
	default:
		e.requestLimit.Store(&stated.Rate)
	}
	return stated
}

// RequestLimit returns the number of requests per second that the backend accepts from all nodes together, and
// whether it has named such a limit.
func (e *Entry) RequestLimit() (rate float64, limited bool) {
	named := e.requestLimit.Load()
	if named == nil {
		return 0, false
	}
	return *named, true
}

// recordBackoff records the backoff that the backend requests. It returns the backoff if this begins one, and zero
// if the backend is in backoff already or requests none.
func (e *Entry) recordBackoff(backoff time.Duration) time.Duration {
	if backoff == 0 {
		return 0
	}
	e.requestedBackoff.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	now, period := e.now(), &e.ensureObservations().backoff
	begins := !now.Before(period.until)
	if begins {
		period.from = now
	}
	if until := now.Add(backoff); until.After(period.until) {
		period.until = until
	}
	if !begins {
		return 0
	}
	return backoff
}

// BackoffRemaining returns how long this node sends the backend nothing: for the rest of the backoff that the backend
// requested, and until there is credit again of the limit that it named.
func (e *Entry) BackoffRemaining() time.Duration {
	if _, limited := e.RequestLimit(); !limited && !e.requestedBackoff.Load() {
		return 0
	}
	now, observed := e.now(), e.observations()
	return max(0, observed.backoff.until.Sub(now), observed.limitedUntil.Sub(now))
}

// limitReached records that the backend's limit grants this node no call for a time.
func (e *Entry) limitReached(wait time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureObservations().limitedUntil = e.now().Add(wait)
}

// BackingOffFor returns how long ago the current backoff began; zero if there is none.
func (e *Entry) BackingOffFor() time.Duration {
	now, period := e.now(), e.observations().backoff
	if !now.Before(period.until) {
		return 0
	}
	return now.Sub(period.from)
}

// isWithheld reports whether this node currently gives the backend no work because of a notice.
func (e *Entry) isWithheld() bool { return e.announcedLeaving.Load() || e.BackoffRemaining() > 0 }

// adopt takes over the notices that the same incarnation sent before its entry was removed for a while.
func (e *Entry) adopt(before *Entry) {
	if before.announcedLeaving.Load() {
		e.recordLeaving()
	}
	if before.requestedBackoff.Load() {
		e.setBackoff(before.observations().backoff)
	}
	e.requestLimit.Store(before.requestLimit.Load())
}

// setBackoff replaces the backoff.
func (e *Entry) setBackoff(period backoffPeriod) {
	e.requestedBackoff.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureObservations().backoff = period
}

// uncertainLeavingBackoff is how long a new incarnation gets no work if it may be the one that announced that
// it leaves. It is a few times as long as backends continue to serve after that (2 to 3 s on the supported
// deployments). If the new incarnation does leave, its next response or its entry shows that by then. If it was
// the previous one that announced it and the clocks disagree, the new one is used again after this time.
const uncertainLeavingBackoff = 10 * time.Second

// inherit takes over the notices received from the previous incarnation, unless they came before this one
// started. It reports whether there were any.
func (e *Entry) inherit(before *Entry) bool {
	observed := before.observations()
	if observed.noticeAt < e.Backend().StartedAt {
		return false
	}
	limit := before.requestLimit.Load()
	if limit != nil {
		e.requestLimit.Store(limit)
	}
	now, period := e.now(), observed.backoff
	if before.announcedLeaving.Load() {
		period = backoffPeriod{from: now, until: now.Add(uncertainLeavingBackoff)}
	}
	if !now.Before(period.until) {
		return limit != nil
	}
	e.setBackoff(period)
	return true
}
