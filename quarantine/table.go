package quarantine

import (
	"slices"
	"time"
)

const (
	// suspectCrashes is the number of crashes without an answer from which a request is suspected for suspectDuration: all nodes
	// count its crashes together.
	suspectCrashes = 2
	// quarantineCrashes is the number of crashes without an answer from which a request is quarantined for quarantineDuration.
	quarantineCrashes = 3
	// suspectDuration is how long a request is suspected after two crashes. Callers retry within seconds.
	suspectDuration = 30 * time.Second
	// evidenceLifetime is how long a crash counts. Callers retry within seconds; without a limit, a request
	// that is sent once an hour would accumulate ordinary crashes for years.
	evidenceLifetime = 10 * time.Minute
	// quarantineDuration is how long a request is quarantined after three crashes. Its backends may be repaired
	// in this time. Until its evidence has expired as well, the next crash renews the quarantine.
	quarantineDuration = time.Hour
	// maxRequests bounds the recorded requests, at 350 bytes each with three crashes. A rack of 20 engines that fails has 1,280 in flight.
	maxRequests = 8192
)

// Status is the quarantine status of a request.
type Status struct {
	// Crashes is the number of backends that have ended with it in flight since it was last answered.
	Crashes int
	// Quarantined is how long the request is still quarantined, or suspected if fewer than quarantineCrashes backends have ended;
	// zero if it is neither.
	Quarantined time.Duration
	// Record is the name of the record that quarantines the request; zero if none does.
	Record Fingerprint
}

// IsBlocked reports whether the request must not run, except as a trial. A request that fewer backends have ended under is
// suspected, but runs on: two crashes may break off a sound one as well.
func (s Status) IsBlocked() bool { return s.Quarantined > 0 && s.Crashes >= quarantineCrashes }

// Suspect reports whether the request is announced to all nodes.
func (s Status) Suspect() bool { return s.Crashes >= suspectCrashes || s.Quarantined > 0 }

// Table counts the backends that ended with a request in flight, each once, whichever nodes report it and
// however often. It is not safe for concurrent use. Times are of a clock that also advances while the machine
// is suspended.
type Table struct {
	requests map[Fingerprint]*history
	// onForget is called with each request that is removed without having been answered; may be nil.
	onForget func(request Fingerprint)
}

// history is the record of one request.
type history struct {
	// crashes holds the end of each backend once. A list, as they are few: it takes half the memory of a map.
	crashes []crashRun
	// restored is how many of the restored crashes came one after the other.
	restored int
	// quarantinedUntil is when the quarantine ends; zero if there was none.
	quarantinedUntil time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{requests: map[Fingerprint]*history{}} }

// Empty reports whether there is no record of any request.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// crashRun is a request in flight at a backend that ended.
type crashRun struct {
	// backend is the incarnation of the backend.
	backend string
	// at is from when on the crash counts.
	at time.Duration
	// run is when the request was at the backend. Of several runs there it is the one that began first.
	run span
	// isRestored is set if the times of the run are not known.
	isRestored bool
}

// Add records that a backend incarnation ended with a request in flight that had just begun, and returns the request's status.
func (t *Table) Add(now time.Duration, request Fingerprint, backend string) Status {
	return t.AddRun(now, request, backend, span{now, now})
}

// AddRun records that a backend incarnation ended with a request in flight, and returns the request's status.
func (t *Table) AddRun(now time.Duration, request Fingerprint, backend string, run span) Status {
	entry := t.history(now, request)
	if known := entry.crashOf(backend); known != nil {
		known.run.began = min(known.run.began, run.began)
		return entry.status(now)
	}
	entry.crashes = append(entry.crashes, crashRun{backend: backend, at: now, run: run})
	entry.quarantinedUntil = max(entry.quarantinedUntil, now+durationAfter(len(entry.crashes)))
	return entry.status(now)
}

// successive returns how many backends ended under a request one after the other, each under a run that began after the end of
// the one before.
func (t *Table) successive(request Fingerprint) int {
	entry := t.requests[request]
	if entry == nil {
		return 0
	}
	var runs []span
	for _, crash := range entry.crashes {
		if !crash.isRestored {
			runs = append(runs, crash.run)
		}
	}
	return min(entry.restored, len(entry.crashes)-len(runs)) + successive(runs)
}

// durationAfter returns how long a request is quarantined after a number of crashes.
func durationAfter(crashes int) time.Duration {
	switch {
	case crashes >= quarantineCrashes:
		return quarantineDuration
	case crashes >= suspectCrashes:
		return suspectDuration
	default:
		return 0
	}
}

// Restore applies an earlier announcement. Its crashes count from now, but do not start a quarantine.
func (t *Table) Restore(now time.Duration, earlier Announcement) {
	entry := t.history(now, earlier.Request)
	added := 0
	for _, backend := range earlier.Backends {
		if entry.crashOf(backend) == nil {
			entry.crashes = append(entry.crashes, crashRun{backend: backend, at: now, isRestored: true})
			added++
		}
	}
	if earlier.Successive > 0 {
		added = min(added, earlier.Successive)
	}
	entry.restored += added
	if earlier.Quarantined > 0 {
		entry.quarantinedUntil = max(entry.quarantinedUntil, now+earlier.Quarantined)
	}
}

// Answered removes the record of a request that a backend has answered, even in a run that started earlier: a
// request that crashes every backend that runs it is never answered.
func (t *Table) Answered(request Fingerprint) { delete(t.requests, request) }

// Status returns the status of a request.
func (t *Table) Status(now time.Duration, request Fingerprint) Status {
	entry := t.requests[request]
	if entry == nil {
		return Status{}
	}
	return entry.status(now)
}

// announcedStatus returns the status to announce.
func (t *Table) announcedStatus(now time.Duration, request Fingerprint) receivedStatus {
	status := t.Status(now, request)
	if status.Quarantined == 0 {
		return receivedStatus{crashes: status.Crashes}
	}
	return receivedStatus{crashes: status.Crashes, quarantinedUntil: now + status.Quarantined}
}

// Quarantined returns the quarantined requests.
func (t *Table) Quarantined(now time.Duration) []Fingerprint {
	var quarantined []Fingerprint
	for request, entry := range t.requests {
		if entry.status(now).Quarantined > 0 {
			quarantined = append(quarantined, request)
		}
	}
	return quarantined
}

// Backends returns the incarnations of the backends that ended under a request, sorted.
func (t *Table) Backends(request Fingerprint) []string {
	entry := t.requests[request]
	if entry == nil {
		return nil
	}
	backends := make([]string, len(entry.crashes))
	for i, crash := range entry.crashes {
		backends[i] = crash.backend
	}
	slices.Sort(backends)
	return backends
}

// Expire removes expired crashes, and returns the requests that have no record left.
func (t *Table) Expire(now time.Duration) []Fingerprint {
	var forgotten []Fingerprint
	for request, entry := range t.requests {
		entry.expire(now)
		if entry.isExpired(now) {
			t.forget(request)
			forgotten = append(forgotten, request)
		}
	}
	return forgotten
}

// includes reports whether there is a record of a request.
func (t *Table) includes(request Fingerprint) bool { return t.requests[request] != nil }

// lastCrash returns when the last backend ended under a request; zero if there is no record of it.
func (t *Table) lastCrash(request Fingerprint) time.Duration {
	entry := t.requests[request]
	if entry == nil {
		return 0
	}
	return entry.lastCrash()
}

// history returns the record of a request, which it creates if needed. A new one may evict another.
func (t *Table) history(now time.Duration, request Fingerprint) *history {
	entry := t.requests[request]
	if entry == nil {
		if len(t.requests) >= maxRequests {
			t.evictOldest(now)
		}
		entry = &history{}
		t.requests[request] = entry
	}
	entry.expire(now)
	return entry
}

// evictOldest removes the request whose last crash is the oldest. Quarantined requests are removed last.
func (t *Table) evictOldest(now time.Duration) {
	t.Expire(now)
	if len(t.requests) < maxRequests {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Duration
	found := false
	for request, entry := range t.requests {
		at := max(entry.lastCrash(), entry.quarantinedUntil)
		if !found || at < oldestAt {
			oldest, oldestAt, found = request, at, true
		}
	}
	t.forget(oldest)
}

// forget removes the record of a request.
func (t *Table) forget(request Fingerprint) {
	delete(t.requests, request)
	if t.onForget != nil {
		t.onForget(request)
	}
}

// crashOf returns the end of a backend, or nil.
func (h *history) crashOf(backend string) *crashRun {
	i := slices.IndexFunc(h.crashes, func(crash crashRun) bool { return crash.backend == backend })
	if i < 0 {
		return nil
	}
	return &h.crashes[i]
}

// status returns the status at a time.
func (h *history) status(now time.Duration) Status {
	return Status{Crashes: len(h.crashes), Quarantined: max(0, h.quarantinedUntil-now)}
}

// expire removes expired crashes. Those of a quarantine expire evidenceLifetime after its end.
func (h *history) expire(now time.Duration) {
	if now < h.quarantinedUntil+evidenceLifetime && h.quarantinedUntil > 0 {
		return
	}
	h.crashes = slices.DeleteFunc(h.crashes, func(crash crashRun) bool { return now-crash.at >= evidenceLifetime })
}

// isExpired reports whether the history carries no information any more.
func (h *history) isExpired(now time.Duration) bool {
	return len(h.crashes) == 0 && (h.quarantinedUntil == 0 || now >= h.quarantinedUntil+evidenceLifetime)
}

// lastCrash returns when the last backend ended.
func (h *history) lastCrash() time.Duration {
	var last time.Duration
	for _, crash := range h.crashes {
		last = max(last, crash.at)
	}
	return last
}
