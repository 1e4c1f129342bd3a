package backend

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// failureHalfLife is the time in which a failure counts half as much.
const failureHalfLife = 2 * time.Second

// Entry is a back end together with what this node has seen of it. It is safe
// for concurrent use.
type Entry struct {
	now     func() time.Time
	backend atomic.Pointer[Backend]
	pending atomic.Int64

	mu        sync.Mutex
	failures  float64
	failureAt time.Time
	// fullUntil is when a back end that refused for want of room is asked again.
	fullUntil time.Time
}

func newEntry(described Backend, now func() time.Time) *Entry {
	entry := &Entry{now: now}
	entry.backend.Store(&described)
	return entry
}

// Backend returns the current description.
func (e *Entry) Backend() Backend { return *e.backend.Load() }

func (e *Entry) set(updated Backend) bool {
	if e.Backend() == updated {
		return false
	}
	e.backend.Store(&updated)
	return true
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

// Failed notes a failure of the back end itself.
func (e *Entry) Failed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = e.decayed() + 1
	e.failureAt = e.now()
}

// Failures returns how many failures there were, older ones counting less.
func (e *Entry) Failures() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decayed()
}

// unsoundFailures is the number of recent failures above which a back end is
// given no work that can go elsewhere.
const unsoundFailures = 0.7

// Sound reports whether the back end has not failed lately.
func (e *Entry) Sound() bool { return e.Failures() <= unsoundFailures }

func (e *Entry) decayed() float64 {
	if e.failures == 0 {
		return 0
	}
	age := e.now().Sub(e.failureAt)
	return e.failures * math.Exp2(-age.Seconds()/failureHalfLife.Seconds())
}

// Full notes that the back end has no room until the given time has passed.
func (e *Entry) Full(lasting time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullUntil = e.now().Add(lasting)
}

// IsFull reports whether the back end was full a short time ago.
func (e *Entry) IsFull() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now().Before(e.fullUntil)
}
