package backendpath

import (
	"maps"
	"slices"
	"time"
)

// Check is what to check next.
type Check struct {
	// Addresses are to be connected to over the node's own link, and through another node if that fails.
	Addresses []string
	// Next is the time until the next check; zero if none is needed before the tracker wakes its user.
	Next time.Duration
}

// Due returns the checks that are due, which it takes for made.
func (t *Tracker) Due() Check {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	t.expire(now)
	var due Check
	due.Addresses = t.dueLinks(now)
	if t.othersDue(now) {
		t.othersCheckedAt = now
		due.Addresses = union(due.Addresses, t.options.Others(otherAddresses))
	}
	for _, address := range due.Addresses {
		if known := t.links[address]; known != nil {
			known.checkedAt = now
		}
	}
	if len(t.links) > 0 {
		due.Next = checkInterval
	}
	return due
}

// expire forgets failures that are no evidence any more, and faults of links that are not used; the lock is held.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.failuresInARow, func(_ string, failedAt time.Time) bool { return now.Sub(failedAt) > failureWindow })
	for address, known := range t.links {
		isOld := now.Sub(known.failedAt) > failureWindow && now.Sub(known.failedElsewhereAt) > failureWindow
		isUnused := now.Sub(known.usedAt) > unusedLifetime
		if !known.isFaulty && isOld || known.isFaulty && isUnused && !t.cutOff {
			delete(t.links, address)
		}
	}
}

// dueLinks returns links that have failed and must be checked, those that were not checked for longest first; the lock
// is held.
func (t *Tracker) dueLinks(now time.Time) []string {
	var due []string
	for address, known := range t.links {
		isNew := !known.isFaulty && known.checkedAt.Before(known.failedAt) && known.failedElsewhereAt.Before(known.failedAt)
		if isNew && now.Sub(known.checkedAt) >= checkInterval || known.isFaulty && now.Sub(known.checkedAt) >= checkInterval {
			due = append(due, address)
		}
	}
	slices.SortFunc(due, func(a, b string) int { return t.links[a].checkedAt.Compare(t.links[b].checkedAt) })
	return due[:min(len(due), addressesPerCheck)]
}

// othersDue reports whether it is time to check backends without a known fault: as long as some links are at fault, and
// more often while the node is cut off, so that it notices soon that its link has recovered; the lock is held.
func (t *Tracker) othersDue(now time.Time) bool {
	interval := othersInterval
	if t.cutOff {
		interval = checkInterval
	}
	return len(t.faulty()) > 0 && now.Sub(t.othersCheckedAt) >= interval
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	for _, address := range b {
		if !slices.Contains(a, address) {
			a = append(a, address)
		}
	}
	return a
}
