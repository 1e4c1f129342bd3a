package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// failureHalfLife is the time in which a failure counts half as much.
	failureHalfLife = 2 * time.Second
	// outcomeWeight is the weight of one answer in the share of failures.
	outcomeWeight = 0.2
	// unsoundFailures is the number of recent failures above which a back end is
	// given no work that can go elsewhere.
	unsoundFailures = 0.7
)

// Entry is a back end together with what this node has seen of it. It is safe
// for concurrent use.
type Entry struct {
	now     func() time.Time
	backend atomic.Pointer[Backend]
	pending atomic.Int64
	// saidLeaving is set once the back end itself has said that it leaves. Its word is newer than
	// what discovery tells, and lasts for this life.
	saidLeaving atomic.Bool
	// askedForBackoff is set once the back end has asked for backoff in this life, so that choosing
	// among thousands of back ends locks none of those that never did.
	askedForBackoff atomic.Bool

	mu sync.Mutex
	// seen is what this node has observed; nil for the most of thousands of back ends, to which it has
	// never sent anything.
	seen *observations
}

// observations are what a node has observed of one back end.
type observations struct {
	// leavingAt is when it stopped taking new work, or was removed; zero while it takes work.
	leavingAt time.Time
	// failures counts those of late, older ones less.
	failures float64
	// failing is the share of answers that failed, newer ones counting more. It
	// falls by itself as well, so that the back end is tried again.
	failing   float64
	failureAt time.Time
	// fullUntil is when a back end that refused for want of room is asked again.
	fullUntil time.Time
	backoff   backoffPeriod
	// heardAt is when the back end last said anything of itself, as a Unix millisecond by this node.
	heardAt int64
}

// backoffPeriod is from when until when a back end wants no request from this node.
type backoffPeriod struct{ from, until time.Time }

// observed returns the observations to change; the lock is held.
func (e *Entry) observed() *observations {
	if e.seen == nil {
		e.seen = &observations{}
	}
	return e.seen
}

// observations returns a copy of what was observed so far.
func (e *Entry) observations() observations {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen == nil {
		return observations{}
	}
	return *e.seen
}

func newEntry(described Backend, now func() time.Time) *Entry {
	entry := &Entry{now: now}
	entry.backend.Store(&described)
	return entry
}

// Backend returns the current description.
func (e *Entry) Backend() Backend { return *e.backend.Load() }

// ID names the life of the back end; it never changes.
func (e *Entry) ID() string { return e.backend.Load().ID }

func (e *Entry) set(updated Backend) bool {
	if e.Backend() == updated {
		return false
	}
	e.backend.Store(&updated)
	e.noteLeaving(updated.State != StateReady)
	return true
}

// TakesWork reports whether the back end takes new work, by its own word and by what discovery tells.
func (e *Entry) TakesWork() bool {
	return e.backend.Load().State == StateReady && !e.saidLeaving.Load()
}

// noteLeaving notes whether discovery tells that the back end still takes new work.
func (e *Entry) noteLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.saidLeaving.Load():
		// What discovery tells may be older.
	case !leaving:
		e.observed().leavingAt = time.Time{}
	case e.observed().leavingAt.IsZero():
		e.observed().leavingAt = e.now()
	}
}

// LeavingFor returns how long ago the back end stopped taking new work, or was removed; zero
// while it takes work.
func (e *Entry) LeavingFor() time.Duration {
	leavingAt := e.observations().leavingAt
	if leavingAt.IsZero() {
		return 0
	}
	return e.now().Sub(leavingAt)
}

// Begin counts a request that this node has under way there. The function that
// it returns ends it.
func (e *Entry) Begin() func() {
	e.pending.Add(1)
	var once sync.Once
	return func() { once.Do(func() { e.pending.Add(-1) }) }
}

// Pending returns how many requests this node has under way there.
func (e *Entry) Pending() int { return int(e.pending.Load()) }

// RecordFailure notes a failure of the back end itself.
func (e *Entry) RecordFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, seen := e.now(), e.observed()
	seen.failures = seen.decayed(seen.failures, now) + 1
	seen.failing = seen.decayed(seen.failing, now)
	seen.failing += outcomeWeight * (1 - seen.failing)
	seen.failureAt = now
}

// RecordSuccess notes an answer.
func (e *Entry) RecordSuccess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen != nil {
		e.seen.failing -= outcomeWeight * e.seen.failing
	}
}

// FailureRate returns the share of requests that seem to fail there.
func (e *Entry) FailureRate() float64 {
	seen := e.observations()
	return seen.decayed(seen.failing, e.now())
}

// Healthy reports whether the back end has not failed lately.
func (e *Entry) Healthy() bool {
	seen := e.observations()
	return seen.decayed(seen.failures, e.now()) <= unsoundFailures
}

// decayed returns a value of the time of the last failure as of now.
func (o observations) decayed(value float64, now time.Time) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-now.Sub(o.failureAt).Seconds()/failureHalfLife.Seconds())
}

// MarkFull notes that the back end has no capacity until the given time has passed.
func (e *Entry) MarkFull(lasting time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed().fullUntil = e.now().Add(lasting)
}

// IsFull reports whether the back end was full a short time ago.
func (e *Entry) IsFull() bool { return e.now().Before(e.observations().fullUntil) }
