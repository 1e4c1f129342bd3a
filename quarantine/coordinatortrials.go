package quarantine

import "time"

// beginTrial decides on a trial of a request; the lock is held.
func (c *Coordinator) beginTrial(now time.Duration, request Fingerprint) TrialDecision {
	crashes := c.crashesOf(now, request)
	if !crashes.status.IsBlocked() {
		// It has been answered, or this coordinator is new and does not know of it yet.
		return TrialDecision{Wait: minTrialWait}
	}
	return c.trialsOf(request).begin(now, crashes)
}

// crashesOf returns what the decision on a trial of a request is based on; the lock is held.
func (c *Coordinator) crashesOf(now time.Duration, request Fingerprint) crashSummary {
	return crashSummary{
		status: c.table.Status(now, request), successive: c.table.successive(request), last: c.table.lastCrash(request),
	}
}

// endTrial applies the end of a trial; the lock is held.
func (c *Coordinator) endTrial(now time.Duration, ended endedTrial) {
	if known := c.trials[ended.request]; known != nil {
		known.end(now, c.table.Status(now, ended.request), ended.reached)
	}
}

// trialsOf returns the trials of a request that has a record; the lock is held.
func (c *Coordinator) trialsOf(request Fingerprint) *trials {
	known := c.trials[request]
	if known == nil {
		known = &trials{}
		c.trials[request] = known
	}
	return known
}

// restoreTrials applies the trials of an earlier announcement; the lock is held.
func (c *Coordinator) restoreTrials(now time.Duration, earlier Announcement) {
	if earlier.Trials > 0 {
		c.trialsOf(earlier.Request).restore(now, earlier.Trials)
	}
}

// expireTrials removes the trials of requests without a record; the lock is held.
func (c *Coordinator) expireTrials() {
	for request := range c.trials {
		if !c.table.includes(request) {
			delete(c.trials, request)
		}
	}
}

// dueTrials returns the quarantined requests whose next trial is due and has not been recorded, with the trials to record.
func (c *Coordinator) dueTrials() []Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var due []Announcement
	for _, request := range c.table.Quarantined(now) {
		crashes := c.crashesOf(now, request)
		if crashes.status.IsBlocked() && c.trialsOf(request).isDue(now, crashes) {
			next := c.announcement(now, request)
			next.Trials++
			due = append(due, next)
		}
	}
	return due
}

// trialRecorded records that the store has recorded a trial.
func (c *Coordinator) trialRecorded(recorded Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.trials[recorded.Request]; known != nil {
		known.recorded = max(known.recorded, recorded.Trials)
	}
}
