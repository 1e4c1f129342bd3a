package quarantine

import "time"

const (
	// maxTrials is the number of trials of a quarantined request. Three may reach backends in all; one is left for crashes that are
	// lost with the node that saw them.
	maxTrials = 2
	// firstTrialDelay is how long after the last crash the first trial is due: backends that crashed by themselves are back by
	// then. nextTrialDelay is the same for the next one.
	firstTrialDelay = 5 * time.Second
	nextTrialDelay  = 30 * time.Second
	// trialTimeout is how long a trial counts as running if its end is not reported.
	trialTimeout = 20 * time.Second
	// minTrialWait is the shortest time after which a node asks again for a trial that was not granted, and maxRunningWait the longest
	// while another trial is running.
	minTrialWait   = 250 * time.Millisecond
	maxRunningWait = time.Second
)

// TrialDecision is whether a quarantined request may run once, to show whether it still crashes backends.
type TrialDecision struct {
	Granted bool
	// Wait is how long not to ask again, if the trial is not granted.
	Wait time.Duration
}

// trials are the trials of one request.
//
// The load pattern that they answer: all backends of a service crash by themselves at one moment, and a sound request that many
// callers send is in flight at each of them. Only an answer tells it from a request that crashes them, and a quarantined request gets
// none. So it runs again seldom and a few times, each time once in the whole fleet, if its runs were side by side. Three crashes one
// after the other, without an answer, are certain enough.
type trials struct {
	// recorded is the number of trials that the store has recorded, used the number of those that were granted. Each is recorded
	// before it is granted, so that the coordinators of a partitioned network, or one after the other, grant no more than maxTrials.
	recorded, used int
	// crashes is the number of crashes as of the last trial, changedAt when it was granted, or others were restored.
	crashes   int
	changedAt time.Duration
	// runningUntil is when the last trial counts as over.
	runningUntil time.Duration
}

// crashSummary is what the decision on a trial is based on.
type crashSummary struct {
	status Status
	// successive is how many backends ended one after the other, each under a run that began after the end of the one before.
	successive int
	// last is when the last backend ended.
	last time.Duration
}

// delayBefore returns how long after the last crash or trial the next trial is due, if a number of them has been used.
func delayBefore(used int) time.Duration {
	if used == 0 {
		return firstTrialDelay
	}
	return nextTrialDelay
}

// wait returns how long it takes until the next trial is due; zero if it is due. It reports whether there will be one before the
// quarantine ends.
func (t *trials) wait(now time.Duration, crashes crashSummary) (wait time.Duration, isLeft bool) {
	if t.isRunning(now, crashes.status) {
		return min(t.runningUntil-now, maxRunningWait), true
	}
	if t.used >= maxTrials || crashes.successive >= quarantineCrashes {
		return crashes.status.Quarantined, false
	}
	due := max(crashes.last, t.changedAt) + delayBefore(t.used)
	return max(0, due-now), true
}

// isRunning reports whether a trial is running. A crash ends it.
func (t *trials) isRunning(now time.Duration, status Status) bool {
	return now < t.runningUntil && status.Crashes == t.crashes
}

// isDue reports whether the next trial is due and has not been recorded.
func (t *trials) isDue(now time.Duration, crashes crashSummary) bool {
	wait, isLeft := t.wait(now, crashes)
	return isLeft && wait == 0 && t.recorded == t.used
}

// begin decides on a trial, and notes it if it is granted.
func (t *trials) begin(now time.Duration, crashes crashSummary) TrialDecision {
	wait, _ := t.wait(now, crashes)
	if wait > 0 || t.recorded == t.used {
		return TrialDecision{Wait: max(wait, minTrialWait)}
	}
	t.used++
	t.crashes, t.changedAt, t.runningUntil = crashes.status.Crashes, now, now+trialTimeout
	return TrialDecision{Granted: true}
}

// end notes that a trial ended without an answer or a crash. One that reached no backend may be granted again.
func (t *trials) end(now time.Duration, status Status, reached bool) {
	if !t.isRunning(now, status) {
		return
	}
	t.runningUntil = now
	if !reached {
		t.used--
		t.changedAt = now - delayBefore(t.used)
	}
}

// restore applies the number of trials that the store has recorded. Those that another coordinator has recorded count as used.
func (t *trials) restore(now time.Duration, recorded int) {
	if recorded <= t.recorded {
		return
	}
	t.used += recorded - t.recorded
	t.recorded, t.changedAt = recorded, now
}
