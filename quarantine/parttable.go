package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// answerLifetime is how long the answer to a request shows that its parts crash no backend. Without a limit, a part
	// that crashes the next version of the backends' software would never be blamed.
	answerLifetime = time.Minute
	// settleTime is how long after a crash the requests that it broke off are waited for.
	settleTime = 150 * time.Millisecond
	// answerWaitTime is how long nodes have to tell that they know an answer with a suspected part, before it is
	// quarantined.
	answerWaitTime = 400 * time.Millisecond
	// certainCrashes is the number of crashes from which parts are quarantined for quarantineDuration whatever else was in
	// flight, and certainExplanations the number of those that only these parts explain.
	certainCrashes      = 4
	certainExplanations = 3
	// maxCrashedBackends, maxRequestsPerCrash and maxGroups bound the memory: 256 crashes with 32 requests of 32 parts take
	// 8 MB at most, usually 50 KB, because most parts have been answered.
	maxCrashedBackends  = 256
	maxRequestsPerCrash = 32
	// Each group is a record that all nodes exchange when it changes, of 300 bytes.
	maxGroups = 16
	// maxAnsweredParts bounds the parts with remembered answers, at 250 bytes each.
	maxAnsweredParts = 4096
	// maxExempt bounds the exemptions of one announcement.
	maxExempt = 64
)

// partTable counts the crashes of backends at which parts of prompts were present, and decides which parts are quarantined.
// It is not safe for concurrent use. Times are of a clock that also advances while the machine is suspended.
type partTable struct {
	crashes map[string]*partCrash
	// answered holds when a backend last answered a part, by the part as its tenant sends it.
	answered answeredParts
	// ended holds when quarantines were ended by an operator, by part.
	ended map[Fingerprint]time.Duration
	// groups are the groups that are blamed, by name.
	groups map[Fingerprint]*blamedState
	// changed is set if there is evidence that the groups do not reflect.
	changed bool
}

// partCrash is the end of one backend.
type partCrash struct {
	at time.Duration
	// requests are those that were in flight, by content.
	requests map[Fingerprint]*suspectRequest
}

// suspectRequest is a request at a backend that ended.
type suspectRequest struct {
	parts   []Part
	written bool
}

// blamedState is a blamed group and what follows from it.
type blamedState struct {
	parts    []Fingerprint
	backends []string
	// suspectedAt is when nodes were first asked for answers.
	suspectedAt time.Duration
	// quarantinedUntil is when the quarantine ends, and quarantinedCrashes the number of crashes it was last set for; zero
	// if there was none.
	quarantinedUntil   time.Duration
	quarantinedCrashes int
	// isCertain is set if the quarantine was set for quarantineDuration.
	isCertain bool
	// exempt are the parts, as tenants send them, that have been answered.
	exempt []Fingerprint
}

func newPartTable() *partTable {
	return &partTable{
		crashes: map[string]*partCrash{}, answered: answeredParts{}, ended: map[Fingerprint]time.Duration{}, groups: map[Fingerprint]*blamedState{},
	}
}

// add records a request that was in flight at a backend that ended at a time.
func (t *partTable) add(at time.Duration, backend string, request Fingerprint, parts []Part, written bool) {
	if len(parts) == 0 {
		return
	}
	crash := t.crashes[backend]
	if crash == nil {
		t.evictCrash()
		crash = &partCrash{at: at, requests: map[Fingerprint]*suspectRequest{}}
		t.crashes[backend] = crash
	}
	if crash.requests[request] != nil || len(crash.requests) >= maxRequestsPerCrash {
		return
	}
	crash.requests[request] = &suspectRequest{parts: parts[:min(len(parts), maxParts)], written: written}
	t.changed = true
}

// evictCrash makes room for a crash by removing the oldest one that no quarantine is based on, or else the oldest.
func (t *partTable) evictCrash() {
	if len(t.crashes) < maxCrashedBackends {
		return
	}
	oldest, oldestKept := "", ""
	for name, crash := range t.crashes {
		if oldest == "" || crash.at < t.crashes[oldest].at {
			oldest = name
		}
		if !t.isKept(name) && (oldestKept == "" || crash.at < t.crashes[oldestKept].at) {
			oldestKept = name
		}
	}
	if oldestKept != "" {
		oldest = oldestKept
	}
	delete(t.crashes, oldest)
}

// isKept reports whether a quarantine is based on the crash of a backend.
func (t *partTable) isKept(backend string) bool {
	for _, group := range t.groups {
		if group.quarantinedUntil > 0 && slices.Contains(group.backends, backend) {
			return true
		}
	}
	return false
}

// noteAnswered records when a backend has answered a part.
func (t *partTable) noteAnswered(answered answeredPart) {
	t.answered.add(answered)
	t.changed = true
}

// end ends the quarantine of a group: what its parts did so far does not count.
func (t *partTable) end(now time.Duration, name Fingerprint) {
	group := t.groups[name]
	if group == nil {
		return
	}
	for _, part := range group.parts {
		t.ended[part] = now
	}
	t.changed = true
}

// restore applies an earlier announcement of a group. Its crashes count from now.
func (t *partTable) restore(now time.Duration, earlier Announcement) {
	parts := make([]Part, len(earlier.Parts))
	for i, shared := range earlier.Parts {
		parts[i] = Part{Shared: shared}
	}
	for _, backend := range earlier.Backends {
		t.add(now-settleTime, backend, earlier.Request, parts, false)
	}
	group := t.groups[earlier.Request]
	if group == nil {
		if len(t.groups) >= maxGroups {
			return
		}
		group = &blamedState{parts: earlier.Parts, suspectedAt: now - answerWaitTime}
		t.groups[earlier.Request] = group
	}
	group.backends = unionOf(group.backends, earlier.Backends)
	if earlier.Quarantined > 0 {
		group.quarantinedUntil = max(group.quarantinedUntil, now+earlier.Quarantined)
		group.quarantinedCrashes = len(group.backends)
		group.isCertain = earlier.Quarantined > suspectDuration
	}
}

// unionOf returns the names of both lists, sorted, each once.
func unionOf(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// isEmpty reports whether no part is suspected.
func (t *partTable) isEmpty() bool { return len(t.crashes) == 0 && len(t.groups) == 0 }

// evaluate determines the blamed groups and their quarantines.
func (t *partTable) evaluate(now time.Duration) {
	t.expire(now)
	if !t.changed {
		return
	}
	crashes, isSettled := t.settledCrashes(now)
	groups := map[Fingerprint]*blamedState{}
	for _, group := range blame(crashes) {
		name := groupName(group.parts)
		state := t.stateOf(now, name, group.parts)
		state.backends = group.backends
		state.exempt = t.exemptions(now, group.parts)
		if now-state.suspectedAt >= answerWaitTime {
			state.quarantine(now, group)
		} else if len(group.backends) >= quarantineCrashes {
			isSettled = false
		}
		groups[name] = state
	}
	t.groups = groups
	t.changed = !isSettled
}

// stateOf returns the state of a group. A group whose other parts have been answered, or were missing in a later request, goes on
// where the larger one was.
func (t *partTable) stateOf(now time.Duration, name Fingerprint, parts []Fingerprint) *blamedState {
	if known := t.groups[name]; known != nil {
		return known
	}
	state := &blamedState{parts: parts, suspectedAt: now}
	for _, larger := range t.groups {
		if containsAll(larger.parts, parts) {
			state.suspectedAt = min(state.suspectedAt, larger.suspectedAt)
		}
	}
	return state
}

// containsAll reports whether a list contains all elements of another one.
func containsAll(list, elements []Fingerprint) bool {
	return !slices.ContainsFunc(elements, func(element Fingerprint) bool { return !slices.Contains(list, element) })
}

// quarantine sets the quarantine that follows from the crashes of a group, unless it has been set for them already.
func (s *blamedState) quarantine(now time.Duration, group blamedGroup) {
	crashes := len(group.backends)
	isCertain := crashes >= certainCrashes || group.onlyExplanation >= certainExplanations
	isNew := crashes > s.quarantinedCrashes || isCertain && !s.isCertain
	if crashes < quarantineCrashes || !isNew {
		return
	}
	duration := suspectDuration
	if isCertain {
		duration = quarantineDuration
	}
	s.quarantinedCrashes, s.isCertain = crashes, isCertain
	s.quarantinedUntil = max(s.quarantinedUntil, now+duration)
}

// settledCrashes returns the crashes whose requests are known, with the parts that no backend has answered. It reports
// whether these are all crashes.
func (t *partTable) settledCrashes(now time.Duration) (settled []crashedBackend, all bool) {
	all = true
	for _, name := range slices.Sorted(maps.Keys(t.crashes)) {
		crash := t.crashes[name]
		if now-crash.at < settleTime {
			all = false
			continue
		}
		backend := crashedBackend{name: name}
		for _, content := range slices.SortedFunc(maps.Keys(crash.requests), compareFingerprints) {
			request := crash.requests[content]
			if parts := t.unanswered(crash.at, request.parts); len(parts) > 0 {
				backend.requests = append(backend.requests, crashedRequest{parts: parts, written: request.written})
			}
		}
		settled = append(settled, backend)
	}
	return settled, all
}

// unanswered returns the parts that may have caused a crash at a time.
func (t *partTable) unanswered(at time.Duration, parts []Part) []Fingerprint {
	var unanswered []Fingerprint
	for _, part := range parts {
		if !t.isCleared(at, part) {
			unanswered = append(unanswered, part.Shared)
		}
	}
	return unanswered
}

// isCleared reports whether a part was not the cause of a crash at a time, or is not to count.
func (t *partTable) isCleared(at time.Duration, part Part) bool {
	ended, isEnded := t.ended[part.Shared]
	return isEnded && at <= ended || t.answered.clears(at, part)
}

// exemptions returns the given parts, as tenants send them, that have been answered.
func (t *partTable) exemptions(now time.Duration, parts []Fingerprint) []Fingerprint {
	var exempt []Fingerprint
	for _, part := range parts {
		for _, answered := range t.answered.of(now, part) {
			exempt = append(exempt, answered.part.Own)
		}
	}
	slices.SortFunc(exempt, compareFingerprints)
	return exempt[:min(len(exempt), maxExempt)]
}

// expire removes what does not count any more.
func (t *partTable) expire(now time.Duration) {
	for name, group := range t.groups {
		if group.quarantinedUntil > 0 && now >= group.quarantinedUntil+evidenceLifetime {
			delete(t.groups, name)
			t.changed = true
		}
	}
	for name, crash := range t.crashes {
		if now-crash.at >= evidenceLifetime && !t.isKept(name) {
			delete(t.crashes, name)
			t.changed = true
		}
	}
	maps.DeleteFunc(t.ended, func(_ Fingerprint, at time.Duration) bool { return now-at >= evidenceLifetime+quarantineDuration })
}

// announcements returns the groups that all nodes must know.
func (t *partTable) announcements(now time.Duration) []Announcement {
	var all []Announcement
	for _, name := range slices.SortedFunc(maps.Keys(t.groups), compareFingerprints) {
		group := t.groups[name]
		all = append(all, Announcement{
			Request: name, Backends: group.backends, Parts: group.parts, Exempt: group.exempt,
			Quarantined: max(0, group.quarantinedUntil-now),
		})
	}
	return all
}

// groupName returns the name of a group of parts.
func groupName(parts []Fingerprint) Fingerprint {
	elements := [][]byte{[]byte("parts of prompts")}
	for _, part := range parts {
		elements = append(elements, part[:])
	}
	return digestOf(elements...)
}
