package quarantine

import (
	"sync"
	"time"
)

// CoordinatorOptions configures a Coordinator.
type CoordinatorOptions struct {
	// Announce sends an announcement to all nodes. It must not call the coordinator.
	Announce func(announcement Announcement)
	// Known returns the last announcement of a request that this node has received, from whichever coordinator. Default: none.
	Known func(request Fingerprint) (known Announcement, found bool)
	// Now reads a clock that also advances while the machine is suspended.
	Now func() time.Duration
}

// Announcement is the record of a request that is sent to all nodes.
type Announcement struct {
	Request Fingerprint
	// Backends are the incarnations of backends that ended while running the request. An announcement without
	// backends and quarantine clears the request.
	Backends []string
	// Quarantined is how long the request is still quarantined; zero if it is not.
	Quarantined time.Duration
	// Successive is how many of the backends ended one after the other, each under a run that began after the end of the one before;
	// zero if that is not known.
	Successive int
	// Trials is the number of trials of the request that may have run since the third crash.
	Trials int
	// Parts are set if the announcement is of all requests whose prompts have all of these parts; Request is a name then.
	Parts []Fingerprint
	// Exempt are parts, as tenants send them, that backends have answered: requests with one of them are not meant.
	Exempt []Fingerprint
}

// Status returns the status that the announcement carries.
func (a Announcement) Status() Status {
	return Status{Crashes: len(a.Backends), Quarantined: a.Quarantined}
}

// Coordinator combines the crashes that all nodes saw, on the node that is chosen for it. This covers requests
// that are retried at one node after the other, each of which sees fewer crashes than a quarantine needs. It is
// safe for concurrent use.
type Coordinator struct {
	options CoordinatorOptions

	mu    sync.Mutex
	table *Table
	// announced is the last announced status of each request, unless the announcement has been revoked.
	announced map[Fingerprint]receivedStatus
	// trials are those of the requests in the table.
	trials map[Fingerprint]*trials
	// parts counts the crashes of parts of prompts, and announcedGroups are the announced groups of them.
	parts           *partTable
	announcedGroups map[Fingerprint]announcedGroup
	// crashedAt is when the last reported backend ended; hasCrashed is set if there was any.
	crashedAt  time.Duration
	hasCrashed bool
}

// NewCoordinator returns a coordinator without records.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	if options.Known == nil {
		options.Known = func(Fingerprint) (Announcement, bool) { return Announcement{}, false }
	}
	return &Coordinator{
		options: options, table: NewTable(), announced: map[Fingerprint]receivedStatus{},
		trials: map[Fingerprint]*trials{}, parts: newPartTable(), announcedGroups: map[Fingerprint]announcedGroup{},
	}
}

// handle applies a node's report and returns the response.
func (c *Coordinator) handle(reported report) reportResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	for _, request := range reported.answered {
		c.clear(now, request)
	}
	for _, ended := range reported.endedTrials {
		c.endTrial(now, ended)
	}
	for _, answered := range reported.answeredParts {
		c.parts.noteAnswered(answered)
	}
	response := reportResponse{statuses: make([]Status, len(reported.evidence)), countsParts: true}
	for i, evidence := range reported.evidence {
		if now-evidence.At < evidenceLifetime {
			c.adoptKnown(now, evidence.Request)
			c.table.AddRun(evidence.At, evidence.Request, evidence.Backend, evidence.Run)
			c.parts.add(evidence.At, evidence.Backend, evidence.Request, evidence.Parts, evidence.Written)
			c.noteCrash(evidence.At)
		}
		c.announce(now, evidence.Request)
		response.statuses[i] = c.table.Status(now, evidence.Request)
	}
	for _, request := range reported.trials {
		response.trials = append(response.trials, c.beginTrial(now, request))
	}
	if reported.all {
		for request := range c.announced {
			response.announced = append(response.announced, c.announcement(now, request))
		}
		response.announced = append(response.announced, c.parts.announcements(now)...)
	}
	return response
}

// adoptKnown applies what an earlier coordinator has announced of a request that this one has no record of; the lock is held. Nodes
// may report to a coordinator before it knows that it has been chosen, and what it announces then must not replace more with less.
func (c *Coordinator) adoptKnown(now time.Duration, request Fingerprint) {
	if c.table.includes(request) {
		return
	}
	if earlier, found := c.options.Known(request); found && len(earlier.Parts) == 0 {
		c.adopt(now, earlier)
	}
}

// clear removes the record of a request; the lock is held.
func (c *Coordinator) clear(now time.Duration, request Fingerprint) {
	c.table.Answered(request)
	delete(c.trials, request)
	c.announce(now, request)
}

// noteCrash records when a backend ended; the lock is held.
func (c *Coordinator) noteCrash(at time.Duration) {
	if !c.hasCrashed || at > c.crashedAt {
		c.crashedAt, c.hasCrashed = at, true
	}
}

// crashedWithin reports whether a backend ended within the last time.
func (c *Coordinator) crashedWithin(last time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasCrashed && c.options.Now()-c.crashedAt < last
}

// Adopt applies an earlier coordinator's announcement without sending it again. The nodes whose evidence it
// contains may have terminated.
func (c *Coordinator) Adopt(earlier Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if len(earlier.Parts) > 0 {
		c.parts.restore(now, earlier)
		c.announcedGroups[earlier.Request] = announcedGroupOf(now, earlier)
		return
	}
	c.adopt(now, earlier)
}

// adopt applies an earlier coordinator's announcement of a request; the lock is held.
func (c *Coordinator) adopt(now time.Duration, earlier Announcement) {
	c.table.Restore(now, earlier)
	c.restoreTrials(now, earlier)
	c.announced[earlier.Request] = c.table.announcedStatus(now, earlier.Request)
}

// Restore applies a stored quarantine that the nodes may not know, and announces it.
func (c *Coordinator) Restore(earlier Announcement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	if len(earlier.Parts) > 0 {
		c.parts.restore(now, earlier)
		c.announceGroups(now)
		return
	}
	c.table.Restore(now, earlier)
	c.restoreTrials(now, earlier)
	c.announce(now, earlier.Request)
}

// End clears a request.
func (c *Coordinator) End(request Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.clear(now, request)
	c.parts.end(now, request)
}

// Expire removes expired records, determines which parts of prompts are quarantined, and announces what has changed. It
// must be called at short intervals.
func (c *Coordinator) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.table.Expire(now)
	c.expireTrials()
	for request := range c.announced {
		c.announce(now, request)
	}
	c.parts.evaluate(now)
	c.announceGroups(now)
}

// Quarantined returns the quarantined requests.
func (c *Coordinator) Quarantined() []Announcement {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	var quarantined []Announcement
	for _, request := range c.table.Quarantined(now) {
		quarantined = append(quarantined, c.announcement(now, request))
	}
	for _, group := range c.parts.announcements(now) {
		if group.Quarantined > 0 {
			quarantined = append(quarantined, group)
		}
	}
	return quarantined
}

// announcedGroup is what was last announced of a group of parts.
type announcedGroup struct {
	crashes, exempt  int
	quarantinedUntil time.Duration
}

func announcedGroupOf(now time.Duration, announcement Announcement) announcedGroup {
	announced := announcedGroup{crashes: len(announcement.Backends), exempt: len(announcement.Exempt)}
	if announcement.Quarantined > 0 {
		announced.quarantinedUntil = now + announcement.Quarantined
	}
	return announced
}

// announceGroups announces the groups of parts that have changed; the lock is held. Nodes detect the end of a quarantine
// themselves.
func (c *Coordinator) announceGroups(now time.Duration) {
	current := map[Fingerprint]bool{}
	for _, announcement := range c.parts.announcements(now) {
		current[announcement.Request] = true
		next, previous := announcedGroupOf(now, announcement), c.announcedGroups[announcement.Request]
		if next.crashes == previous.crashes && next.exempt == previous.exempt && next.quarantinedUntil <= previous.quarantinedUntil {
			continue
		}
		c.announcedGroups[announcement.Request] = next
		c.options.Announce(announcement)
	}
	for name := range c.announcedGroups {
		if !current[name] {
			delete(c.announcedGroups, name)
			c.options.Announce(Announcement{Request: name})
		}
	}
}

// announcement returns a request's current record; the lock is held.
func (c *Coordinator) announcement(now time.Duration, request Fingerprint) Announcement {
	announcement := Announcement{
		Request: request, Backends: c.table.Backends(request), Quarantined: c.table.Status(now, request).Quarantined,
		Successive: c.table.successive(request),
	}
	if known := c.trials[request]; known != nil {
		announcement.Trials = known.recorded
	}
	return announcement
}

// announce announces a request if its status differs from the last announcement; the lock is held. Nodes detect
// the end of a quarantine themselves.
func (c *Coordinator) announce(now time.Duration, request Fingerprint) {
	status, current := c.table.Status(now, request), c.table.announcedStatus(now, request)
	previous, known := c.announced[request]
	switch {
	case !status.Suspect() && known:
		delete(c.announced, request)
		c.options.Announce(Announcement{Request: request})
	case status.Suspect() && (!known || current.crashes != previous.crashes || current.quarantinedUntil > previous.quarantinedUntil):
		c.announced[request] = current
		c.options.Announce(c.announcement(now, request))
	}
}
