package quarantine

import (
	"context"
	"time"
)

// endedTrial is a trial that ended without an answer or a crash.
type endedTrial struct {
	request Fingerprint
	// reached is set if a backend may have received the request.
	reached bool
}

// BeginTrial asks the coordinator whether a blocked request may run as a trial. It may not while no coordinator answers, nor if
// parts of its prompt are quarantined.
func (c *Client) BeginTrial(ctx context.Context, request Subject) TrialDecision {
	c.mu.Lock()
	status, parts := c.contentStatus(request.Content), c.partStatus(request.Parts)
	wait := max(c.trialWait(request.Content, status), parts.Quarantined)
	asked := pendingReport{evidence: unreportedOf(c.evidence[request.Content]), trials: []Fingerprint{request.Content}}
	c.mu.Unlock()
	if wait > 0 {
		return TrialDecision{Wait: wait}
	}
	decision := TrialDecision{Wait: minTrialWait}
	if response, err := c.deliver(ctx, asked, crashTimeout); err == nil && len(response.trials) > 0 {
		decision = response.trials[0]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !decision.Granted {
		c.nextTrials[request.Content] = nextTrial{at: c.options.Now() + decision.Wait, crashes: status.Crashes}
	}
	return decision
}

// nextTrial is when a node next asks for a trial of a request with a number of crashes.
type nextTrial struct {
	at      time.Duration
	crashes int
}

// trialWait returns how long a node does not ask for a trial of a request; the lock is held.
func (c *Client) trialWait(request Fingerprint, status Status) time.Duration {
	if next, known := c.nextTrials[request]; known && next.crashes == status.Crashes {
		return max(0, next.at-c.options.Now())
	}
	sinceCrash := quarantineDuration - status.Quarantined
	return max(0, firstTrialDelay-sinceCrash)
}

// EndTrial records that a trial of this node is over, and whether a backend may have received the request.
func (c *Client) EndTrial(request Fingerprint, reached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queueEndedTrials(endedTrial{request, reached})
}

// queueEndedTrials queues trials for the coordinator; the lock is held. One that is not reported ends by itself.
func (c *Client) queueEndedTrials(ended ...endedTrial) {
	room := max(0, maxRequests-len(c.endedTrials))
	c.endedTrials = append(c.endedTrials, ended[:min(room, len(ended))]...)
}

// expireTrials removes the times at which to ask for trials again; the lock is held.
func (c *Client) expireTrials(now time.Duration) {
	for request, next := range c.nextTrials {
		if now >= next.at {
			delete(c.nextTrials, request)
		}
	}
}
