package gateway

import (
	"sync"
	"time"

	"github.com/reelrun/reelrun/routing"
)

const (
	// minClientRetryAge is the age from which a request counts as a client retry. It is more than the time by
	// which clock differences, links and the callers' own scheduling shorten a deadline (3 ms to clients on
	// the supported deployments).
	minClientRetryAge = 100 * time.Millisecond
	// fullDeadlineMargin is by how much a full deadline may be shorter than the longest: callers measure it
	// in whole milliseconds, some of them from when they started to connect.
	fullDeadlineMargin = 20 * time.Millisecond
	// minAttempts is how many attempts of a route must have been observed before its deadlines count as
	// evidence.
	minAttempts = 6
	// minFullShare is the least share of attempts with the full deadline at which a shorter deadline
	// indicates a client retry. If all callers wait equally long and each rejected one retries once, the
	// share is at least a half, and 0.4 if three in ten of them retry three times more. If callers wait for
	// 2.55 to 3 s, it is 0.05.
	minFullShare = 0.25
	// attemptWindow bounds the attempts that the share is computed over, so that it adapts to changes of
	// the callers.
	attemptWindow = 64
)

// waitHistory tracks how long callers of each route wait. A client retry has less time left, by as much as
// its caller has waited already. The time left is evidence only if all callers of a route wait equally
// long: if the deadlines of first attempts differ, one with a short deadline would be ordered behind others as
// a retry, and served late. It is safe for concurrent use.
type waitHistory struct {
	mu      sync.Mutex
	byRoute map[routeKey]*routeWaits
}

// routeKey identifies a route across versions of the configuration.
type routeKey struct{ host, prefix string }

// routeWaits are the statistics of one route.
type routeWaits struct {
	// longest is the longest deadline observed.
	longest time.Duration
	// attempts counts the observed attempts, full those of them with about the longest deadline.
	attempts, full float64
}

// clientRetryEvidence is the estimated time since the caller's first attempt, and how well it is supported.
type clientRetryEvidence struct {
	// age is zero for a first attempt, and if nothing indicates a retry.
	age time.Duration
	// fullShare is the share of the route's attempts that had the full deadline.
	fullShare float64
}

// observe records an attempt and evaluates, by the time left to its caller, whether it is a client retry.
func (h *waitHistory) observe(route *routing.Route, wait time.Duration) clientRetryEvidence {
	if wait <= 0 {
		return clientRetryEvidence{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byRoute == nil {
		h.byRoute = map[routeKey]*routeWaits{}
	}
	key := routeKey{route.Host, route.PathPrefix}
	waits := h.byRoute[key]
	if waits == nil {
		waits = &routeWaits{}
		h.byRoute[key] = waits
	}
	waits.add(wait)
	return waits.evaluate(wait)
}

// add counts an attempt.
func (w *routeWaits) add(wait time.Duration) {
	if w.attempts >= attemptWindow {
		w.attempts, w.full = w.attempts/2, w.full/2 //nolint:mnd // half
	}
	w.attempts++
	if wait > w.longest+fullDeadlineMargin {
		// The deadlines counted as full so far were shorter ones.
		w.full = 0
	}
	w.longest = max(w.longest, wait)
	if w.longest-wait <= fullDeadlineMargin {
		w.full++
	}
}

// evaluate detects a client retry by its deadline, if most first attempts have the same one. The longest
// deadline itself is always full, and is no evidence.
func (w *routeWaits) evaluate(wait time.Duration) clientRetryEvidence {
	if w.attempts < minAttempts {
		return clientRetryEvidence{}
	}
	evidence := clientRetryEvidence{fullShare: max(0, w.full-1) / (w.attempts - 1)}
	if evidence.fullShare >= minFullShare {
		evidence.age = w.longest - wait
	}
	return evidence
}
