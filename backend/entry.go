package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureHalfLife is the half-life of a failure's weight.
	failureHalfLife = 2 * time.Second
	// outcomeWeight is the weight of one response or failure in the failure rate.
	outcomeWeight = 0.2
	// unhealthyFailures is the number of recent failures above which a backend gets no work that another one can
	// take.
	unhealthyFailures = 0.7
)

// Entry is a backend with this node's observations of it. It is safe for concurrent use.
type Entry struct {
	now     func() time.Time
	backend atomic.Pointer[Backend]
	pending atomic.Int64
	// announcedLeaving is set once the backend itself has announced that it leaves. Its notice is newer than
	// discovery, and lasts for this incarnation.
	announcedLeaving atomic.Bool
	// requestedBackoff is set once this incarnation has requested backoff, so that choosing among thousands of
	// backends locks none of those that never did.
	requestedBackoff atomic.Bool
	// requestLimit is the limit of requests per second that this incarnation has named; nil for none.
	requestLimit atomic.Pointer[float64]

	mu sync.Mutex
	// recorded holds this node's observations; nil for a backend to which it has never sent anything, which is
	// most of the backends of a large service.
	recorded *observations
}

// observations holds a node's observations of one backend.
type observations struct {
	// leavingAt is when the backend stopped taking new work, or was removed; zero while it takes work.
	leavingAt time.Time
	// failures counts recent failures, weighted by age.
	failures float64
	// failureRate is the share of requests that failed, weighted towards newer ones. It also decays over time,
	// so that the backend is tried again.
	failureRate float64
	failureAt   time.Time
	// fullUntil is when a backend that rejected a request for lack of capacity may be used again.
	fullUntil time.Time
	backoff   backoffPeriod
	// limitedUntil is when the backend's limit grants this node calls again.
	limitedUntil time.Time
	// noticeAt is when the backend last sent a notice, in Unix milliseconds by this node's clock.
	noticeAt int64
}

// backoffPeriod is the time in which a backend has requested backoff from this node.
type backoffPeriod struct{ from, until time.Time }

// ensureObservations returns the observations for modification, which it creates if needed; the lock is held.
func (e *Entry) ensureObservations() *observations {
	if e.recorded == nil {
		e.recorded = &observations{}
	}
	return e.recorded
}

// observations returns a copy of the observations.
func (e *Entry) observations() observations {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recorded == nil {
		return observations{}
	}
	return *e.recorded
}

func newEntry(described Backend, now func() time.Time) *Entry {
	entry := &Entry{now: now}
	entry.backend.Store(&described)
	return entry
}

// Backend returns the current description.
func (e *Entry) Backend() Backend { return *e.backend.Load() }

// ID identifies the backend's incarnation; it never changes.
func (e *Entry) ID() string { return e.backend.Load().ID }

func (e *Entry) set(updated Backend) bool {
	if e.Backend() == updated {
		return false
	}
	e.backend.Store(&updated)
	e.setLeaving(updated.State != StateReady)
	return true
}

// TakesWork reports whether the backend takes new work, by its own notices and by discovery.
func (e *Entry) TakesWork() bool {
	return e.backend.Load().State == StateReady && !e.announcedLeaving.Load()
}

// setLeaving records whether the backend has stopped taking new work according to discovery.
func (e *Entry) setLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.announcedLeaving.Load():
		// Discovery may be older than the notice.
	case !leaving:
		e.ensureObservations().leavingAt = time.Time{}
	case e.ensureObservations().leavingAt.IsZero():
		e.ensureObservations().leavingAt = e.now()
	}
}

// LeavingFor returns how long ago the backend stopped taking new work, or was removed; zero while it takes
// work.
func (e *Entry) LeavingFor() time.Duration {
	leavingAt := e.observations().leavingAt
	if leavingAt.IsZero() {
		return 0
	}
	return e.now().Sub(leavingAt)
}

// Begin counts a request that this node sends to the backend. The returned function must be called when it ends.
func (e *Entry) Begin() func() {
	e.pending.Add(1)
	var once sync.Once
	return func() { once.Do(func() { e.pending.Add(-1) }) }
}

// Pending returns the number of requests that this node has in flight at the backend.
func (e *Entry) Pending() int { return int(e.pending.Load()) }

// RecordFailure records a failure of the backend itself.
func (e *Entry) RecordFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, observed := e.now(), e.ensureObservations()
	observed.failures = observed.decayed(observed.failures, now) + 1
	observed.failureRate = observed.decayed(observed.failureRate, now)
	observed.failureRate += outcomeWeight * (1 - observed.failureRate)
	observed.failureAt = now
}

// RecordSuccess records a response.
func (e *Entry) RecordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.recorded != nil {
		e.recorded.failureRate -= outcomeWeight * e.recorded.failureRate
	}
}

// FailureRate returns the estimated share of requests that fail at the backend.
func (e *Entry) FailureRate() float64 {
	observed := e.observations()
	return observed.decayed(observed.failureRate, e.now())
}

// Healthy reports whether the backend has not failed recently.
func (e *Entry) Healthy() bool {
	observed := e.observations()
	return observed.decayed(observed.failures, e.now()) <= unhealthyFailures
}

// decayed returns a value that held at the last failure, decayed to now.
func (o observations) decayed(value float64, now time.Time) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-now.Sub(o.failureAt).Seconds()/failureHalfLife.Seconds())
}

// MarkFull records that the backend has no capacity for the given time.
func (e *Entry) MarkFull(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureObservations().fullUntil = e.now().Add(duration)
}

// IsFull reports whether the time given to MarkFull has not passed yet.
func (e *Entry) IsFull() bool { return e.now().Before(e.observations().fullUntil) }
