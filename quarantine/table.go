package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// crashesAllowed is how many back ends may end under a request. One that was merely beside
	// another request's crash, or an ordinary one, is rarely at three in a row.
	crashesAllowed = 3
	// suspectFrom is from how many crashes on all nodes are told of a request, so that it is run
	// apart from others of the kind, and that any node which sees it answered can say so.
	suspectFrom = crashesAllowed - 1
	// evidenceLifetime is how long a crash counts. Callers return within seconds; a request that is
	// sent once an hour meets an ordinary crash each time for years.
	evidenceLifetime = 10 * time.Minute
	// quarantineLifetime is how long a request is kept away. Its servers may be mended meanwhile;
	// until its evidence is forgotten as well, the next crash begins it anew.
	quarantineLifetime = time.Hour
	// maxRequests bounds the requests that are remembered: some 200 bytes each. A rack of 20 engines
	// that ends has 1,280 under way.
	maxRequests = 8192
)

// Standing is what is known of a request.
type Standing struct {
	// Crashes is how many back ends have ended with it under way since it was last answered.
	Crashes int
	// Quarantined is how long it is still kept from back ends; zero if it is not.
	Quarantined time.Duration
}

// Suspect reports whether all nodes are told of the request.
func (s Standing) Suspect() bool { return s.Crashes >= suspectFrom || s.Quarantined > 0 }

// Table counts the back ends that ended with a request under way, each once, whoever tells of it and
// however often. It is not safe for concurrent use. Times are of a clock that counts on while the
// machine is suspended.
type Table struct {
	requests map[Fingerprint]*history
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
func (t *Table) Add(now time.Duration, request Fingerprint, backend string) Standing {
	known := t.history(now, request)
	if _, counted := known.crashes[backend]; !counted {
		known.crashes[backend] = now
		if len(known.crashes) >= crashesAllowed {
			known.quarantinedUntil = now + quarantineLifetime
		}
	}
	return known.standing(now)
}

// Restore takes over a quarantine that was agreed before, and lasts so much longer.
func (t *Table) Restore(now time.Duration, request Fingerprint, lasting time.Duration) {
	known := t.history(now, request)
	known.quarantinedUntil = max(known.quarantinedUntil, now+lasting)
}

// Answered forgets what is known of a request that a back end has answered, unless it is kept away:
// only an answer from before can arrive then.
func (t *Table) Answered(now time.Duration, request Fingerprint) (forgotten bool) {
	known := t.requests[request]
	if known == nil || known.standing(now).Quarantined > 0 {
		return false
	}
	delete(t.requests, request)
	return true
}

// Forget drops a request.
func (t *Table) Forget(request Fingerprint) { delete(t.requests, request) }

// Standing returns what is known of a request.
func (t *Table) Standing(now time.Duration, request Fingerprint) Standing {
	known := t.requests[request]
	if known == nil {
		return Standing{}
	}
	return known.standing(now)
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
			delete(t.requests, request)
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
	delete(t.requests, oldest)
}

// standing returns what the history says now.
func (h *history) standing(now time.Duration) Standing {
	return Standing{Crashes: len(h.crashes), Quarantined: max(0, h.quarantinedUntil-now)}
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
