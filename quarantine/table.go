package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashesSuspect is from how many crashes in a row a request is kept away for a short time. On 81
	// days of ordinary crashes 359 requests were at one, and none at two; beside requests that crash
	// their engines, a few in a hundred are.
	crashesSuspect = 2
	// crashesAllowed is how many back ends may end under a request before it is kept away for long.
	crashesAllowed = 3
	// suspectLifetime is how long a request is kept away after two crashes. Callers that return at
	// once do not get to a third meanwhile: 427 of 500 streams beside four such requests were
	// served in place of 394. One that was only beside them is served half a minute later.
	suspectLifetime = 30 * time.Second
	// evidenceLifetime is how long a crash counts. Callers return within seconds; a request that is
	// sent once an hour meets an ordinary crash each time for years.
	evidenceLifetime = 10 * time.Minute
	// quarantineLifetime is how long a request is kept away after three. Its servers may be mended meanwhile;
	// until its evidence is forgotten as well, the next crash begins it anew.
	quarantineLifetime = time.Hour
	// maxRequests bounds the requests that are remembered, at 320 bytes each (measured on a full
	// table): 2.6 MB. A rack of 20 engines that ends has 1,280 under way.
	maxRequests = 8192
)

// Status is what is known of a request.
type Status struct {
	// Crashes is how many back ends have ended with it under way since it was last answered.
	Crashes int
	// Quarantined is how long it is still kept from back ends; zero if it is not.
	Quarantined time.Duration
}

// Suspect reports whether all nodes are told of the request.
func (s Status) Suspect() bool { return s.Crashes >= crashesSuspect || s.Quarantined > 0 }

// Table counts the back ends that ended with a request under way, each once, whoever tells of it and
// however often. It is not safe for concurrent use. Times are of a clock that counts on while the
// machine is suspended.
type Table struct {
	requests map[Fingerprint]*history
	// forgotten is called with each request that is forgotten without an answer; nil for nobody.
	forgotten func(request Fingerprint)
}

// history is what is known of one request.
type history struct {
	// crashes holds when each back end ended, by its life.
	crashes map[string]time.Duration
	// quarantinedUntil is when the quarantine ends; zero if there was none.
	quarantinedUntil time.Duration
}

// NewTable returns a table that knows of no request.
func NewTable() *Table { return &Table{requests: map[Fingerprint]*history{}} }

// Empty reports whether nothing is known of any request.
func (t *Table) Empty() bool { return len(t.requests) == 0 }

// Add notes that a life of a back end ended with a request under way, and returns the request's
// standing since.
func (t *Table) Add(now time.Duration, request Fingerprint, backend string) Status {
	known := t.history(now, request)
	if _, counted := known.crashes[backend]; !counted {
		known.crashes[backend] = now
		known.quarantinedUntil = max(known.quarantinedUntil, now+lifetime(len(known.crashes)))
	}
	return known.standing(now)
}

// lifetime returns how long a request is kept away after so many crashes.
func lifetime(crashes int) time.Duration {
	switch {
	case crashes >= crashesAllowed:
		return quarantineLifetime
	case crashes >= crashesSuspect:
		return suspectLifetime
	default:
		return 0
	}
}

// Restore takes over what was agreed of a request before. Its crashes count from now, but begin
// nothing anew.
func (t *Table) Restore(now time.Duration, earlier Announcement) {
	known := t.history(now, earlier.Request)
	for _, backend := range earlier.Backends {
		if _, counted := known.crashes[backend]; !counted {
			known.crashes[backend] = now
		}
	}
	if earlier.Quarantined > 0 {
		known.quarantinedUntil = max(known.quarantinedUntil, now+earlier.Quarantined)
	}
}

// Answered forgets what is known of a request that a back end has answered, be it by a run from
// before: what ends each back end that runs it is never answered.
func (t *Table) Answered(request Fingerprint) { delete(t.requests, request) }

// Status returns what is known of a request.
func (t *Table) Status(now time.Duration, request Fingerprint) Status {
	known := t.requests[request]
	if known == nil {
		return Status{}
	}
	return known.standing(now)
}

// toldNow returns what there is to tell of a request.
func (t *Table) toldNow(now time.Duration, request Fingerprint) heardStanding {
	standing := t.Status(now, request)
	if standing.Quarantined == 0 {
		return heardStanding{crashes: standing.Crashes}
	}
	return heardStanding{crashes: standing.Crashes, quarantinedUntil: now + standing.Quarantined}
}

// Quarantined returns the requests that are kept away.
func (t *Table) Quarantined(now time.Duration) []Fingerprint {
	var kept []Fingerprint
	for request, known := range t.requests {
		if known.standing(now).Quarantined > 0 {
			kept = append(kept, request)
		}
	}
	return kept
}

// Backends returns the lives of the back ends that ended under a request, in a fixed order.
func (t *Table) Backends(request Fingerprint) []string {
	known := t.requests[request]
	if known == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(known.crashes))
}

// Expire forgets what no longer counts, and returns the requests of which nothing is left.
func (t *Table) Expire(now time.Duration) []Fingerprint {
	var forgotten []Fingerprint
	for request, known := range t.requests {
		known.expire(now)
		if known.over(now) {
			t.forget(request)
			forgotten = append(forgotten, request)
		}
	}
	return forgotten
}

// history returns what is known of a request, making room for one that is new.
func (t *Table) history(now time.Duration, request Fingerprint) *history {
	known := t.requests[request]
	if known == nil {
		if len(t.requests) >= maxRequests {
			t.makeRoom(now)
		}
		known = &history{crashes: map[string]time.Duration{}}
		t.requests[request] = known
	}
	known.expire(now)
	return known
}

// makeRoom forgets the request that was last under way at a crash the longest ago. Those that are
// kept away go last.
func (t *Table) makeRoom(now time.Duration) {
	t.Expire(now)
	if len(t.requests) < maxRequests {
		return
	}
	var oldest Fingerprint
	var oldestAt time.Duration
	found := false
	for request, known := range t.requests {
		at := max(known.last(), known.quarantinedUntil)
		if !found || at < oldestAt {
			oldest, oldestAt, found = request, at, true
		}
	}
	t.forget(oldest)
}

// forget drops what is known of a request.
func (t *Table) forget(request Fingerprint) {
	delete(t.requests, request)
	if t.forgotten != nil {
		t.forgotten(request)
	}
}

// standing returns what the history says now.
func (h *history) standing(now time.Duration) Status {
	return Status{Crashes: len(h.crashes), Quarantined: max(0, h.quarantinedUntil-now)}
}

// expire forgets the crashes that no longer count. Those of a quarantine count until as long after
// its end.
func (h *history) expire(now time.Duration) {
	if now < h.quarantinedUntil+evidenceLifetime && h.quarantinedUntil > 0 {
		return
	}
	for backend, at := range h.crashes {
		if now-at >= evidenceLifetime {
			delete(h.crashes, backend)
		}
	}
}

// over reports whether the history says nothing any more.
func (h *history) over(now time.Duration) bool {
	return len(h.crashes) == 0 && (h.quarantinedUntil == 0 || now >= h.quarantinedUntil+evidenceLifetime)
}

// last returns when the last back end ended.
func (h *history) last() time.Duration {
	var last time.Duration
	for _, at := range h.crashes {
		last = max(last, at)
	}
	return last
}
