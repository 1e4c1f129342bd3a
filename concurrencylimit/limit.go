package concurrencylimit

import (
	"sync"
	"time"
)

const (
	// minMost is the lowest limit: below it a node serves too few requests to observe what it could serve.
	minMost = 4
	// decrease is the factor by which the limit shrinks, and longQueueDecrease the one for the first queue and for one of longQueue: by the time that
	// these show, far more has been admitted than can be served. increase is the share by which it grows, by minIncrease at least.
	decrease          = 0.7
	longQueueDecrease = 0.35
	longQueue         = 10 * maxDelay
	increase          = 1.0 / 32
	minIncrease       = 0.5
	// maxDelay is the delay above which there are too many requests in progress. Calls between nodes are given 60 ms at the shortest, and
	// may meet this delay in both directions.
	maxDelay = 20 * time.Millisecond
	// interval is the time whose smallest delays decide: a processor that is shared out by quotas may rest for most of a tenth of a second
	// without a queue. Without a limit it is firstInterval, because all that arrives is read until the first queue is seen.
	interval      = 200 * time.Millisecond
	firstInterval = 100 * time.Millisecond
	// limitLifetime is how long after the last queue there is no limit any more: what delayed the node then may be over.
	limitLifetime = 30 * time.Second
	// minAdmitInterval is the interval at which a new connection is accepted in any case, so that the node never vanishes for callers.
	minAdmitInterval = 500 * time.Millisecond
	// closeShare is the share of the limit up to which new connections are accepted, and reopenShare the one at which they are again. The rest is
	// left to open connections: a request on them has arrived before it can be turned away. Whoever connects just before the node refuses
	// connections sends a request in vain, so the node does not change its mind for each request that ends.
	closeShare  = 0.9
	reopenShare = 0.75
	// observedShare is the share of the limit from which on delays are observed: below, the limit does not matter. observedRequests is
	// the number from which on they are without a limit.
	observedShare    = 0.25
	observedRequests = 16
)

// Delays are the smallest delays that were observed during an interval.
type Delays struct {
	// Processor is how late timers fired. Callers is how much longer than usual bytes to callers remained unacknowledged, and Nodes
	// how much longer a round trip to another node took. Zero if nothing was observed.
	Processor, Callers, Nodes time.Duration
}

// longest returns the longest of the delays.
func (d Delays) longest() time.Duration { return max(d.Processor, d.Callers, d.Nodes) }

// TurnedAway counts what has not been admitted.
type TurnedAway struct {
	// Connections are new connections that were accepted and closed, and Requests such on open connections that were left unread. Connections that
	// were refused because nobody listened are not known.
	Connections, Requests int
	// Refusing is for how long new connections were refused.
	Refusing time.Duration
}

// Any reports whether anything has been turned away.
func (t TurnedAway) Any() bool { return t != TurnedAway{} }

// Limit bounds the requests in progress. Until the first queue there is no limit: a healthy node serves whatever comes. It is safe for concurrent use.
type Limit struct {
	now func() time.Time
	// observed is signalled when so many requests are in progress that delays must be observed.
	observed chan struct{}

	mu sync.Mutex
	// most is the limit, zero for none, and inProgress the number of requests that have been admitted and not released.
	most       float64
	inProgress int
	// peak is the greatest number in progress since the last adjustment, and isBinding is set if the limit has been reached since.
	peak      int
	isBinding bool
	// refusesNew is set while new connections are refused, as of checkedAt.
	refusesNew bool
	checkedAt  time.Time
	// queueAt is when the last queue was seen, and admittedNewAt when the last new connection was accepted; zero for never.
	queueAt, admittedNewAt time.Time
	turnedAway             TurnedAway
}

// NewLimit returns a limit that uses the given clock.
func NewLimit(now func() time.Time) *Limit {
	return &Limit{now: now, observed: make(chan struct{}, 1)}
}

// isLimited reports whether there is a limit, and ends one that is too old; the lock is held.
func (l *Limit) isLimited() bool {
	if l.most > 0 && l.now().Sub(l.queueAt) > limitLifetime {
		l.most, l.refusesNew = 0, false
	}
	return l.most > 0
}

// Admit reports whether the next request of an open connection may be read. If so, Release must be called at its end.
func (l *Limit) Admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLimited() && l.inProgress >= int(l.most) {
		l.turnAway(&l.turnedAway.Requests)
		return false
	}
	l.begin()
	return true
}

// AdmitNew is Admit for the first request of a new connection.
func (l *Limit) AdmitNew() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFull() {
		l.turnAway(&l.turnedAway.Connections)
		return false
	}
	l.admittedNewAt = l.now()
	l.begin()
	return true
}

// Full reports whether the first request of a new connection would not be admitted now.
func (l *Limit) Full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFull()
}

// isFull is Full while the lock is held.
func (l *Limit) isFull() bool {
	if !l.isLimited() {
		return false
	}
	inProgress := float64(l.inProgress)
	refusedNew := l.refusesNew
	l.refusesNew = inProgress >= closeShare*l.most || refusedNew && inProgress >= reopenShare*l.most
	now := l.now()
	if refusedNew {
		l.turnedAway.Refusing += now.Sub(l.checkedAt)
	}
	l.checkedAt = now
	if !l.refusesNew {
		return false
	}
	l.isBinding = true
	return now.Sub(l.admittedNewAt) < minAdmitInterval
}

// begin counts a request; the lock is held.
func (l *Limit) begin() {
	l.inProgress++
	l.peak = max(l.peak, l.inProgress)
	if l.mustObserve() {
		select {
		case l.observed <- struct{}{}:
		default:
		}
	}
}

// turnAway counts what is not admitted; the lock is held.
func (l *Limit) turnAway(count *int) {
	*count++
	l.isBinding = true
}

// TakeTurnedAway returns what has not been admitted since the last call.
func (l *Limit) TakeTurnedAway() TurnedAway {
	l.mu.Lock()
	defer l.mu.Unlock()
	turnedAway := l.turnedAway
	l.turnedAway = TurnedAway{}
	return turnedAway
}

// Release ends an admitted request.
func (l *Limit) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress--
}

// State returns the limit, zero for none, and the number of requests in progress.
func (l *Limit) State() (most, inProgress int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLimited() {
		return 0, l.inProgress
	}
	return int(l.most), l.inProgress
}

// mustObserve reports whether delays must be observed; the lock is held.
func (l *Limit) mustObserve() bool {
	if !l.isLimited() {
		return l.inProgress >= observedRequests
	}
	return float64(l.inProgress) >= observedShare*l.most
}

// Adjust adapts the limit to the delays of the last interval. It reports false if delays need not be observed until Observed is signalled.
func (l *Limit) Adjust(delays Delays) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasLimited := l.isLimited()
	if delays.longest() > maxDelay {
		l.queueAt = l.now()
	}
	switch {
	case delays.longest() > maxDelay && !wasLimited:
		l.most = max(minMost, longQueueDecrease*float64(l.peak))
	case delays.longest() > longQueue:
		l.shrink(longQueueDecrease)
	case delays.longest() > maxDelay:
		l.shrink(decrease)
	case l.isBinding && wasLimited:
		l.most += max(minIncrease, increase*l.most)
	}
	l.peak, l.isBinding = l.inProgress, false
	return l.mustObserve()
}

// shrink lowers the limit. While more requests are in progress than it allows, an earlier decrease has not had its effect yet.
func (l *Limit) shrink(factor float64) {
	if float64(l.inProgress) > l.most {
		return
	}
	l.most = max(minMost, factor*min(l.most, float64(l.peak)))
}

// Interval returns the time whose smallest delays the next adjustment needs.
func (l *Limit) Interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLimited() {
		return firstInterval
	}
	return interval
}

// Observed is signalled when delays must be observed.
func (l *Limit) Observed() <-chan struct{} { return l.observed }
