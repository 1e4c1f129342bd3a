package quarantine

import (
	"slices"
	"time"
)

// maxQueuedParts bounds the answered parts that a node reports at once.
const maxQueuedParts = 256

// receivedGroup is a group of parts as the coordinator announced it.
type receivedGroup struct {
	parts, exempt    []Fingerprint
	crashes          int
	quarantinedUntil time.Duration
}

// partStatus returns the status of a request by the parts of its prompt; the lock is held.
func (c *Client) partStatus(parts []Part) Status {
	var status Status
	if len(parts) == 0 {
		return status
	}
	now := c.options.Now()
	for name, group := range c.groups {
		status = worse(status, c.groupStatus(now, name, group, parts))
	}
	if c.partsCoordinated {
		return status
	}
	for name, group := range c.parts.groups {
		local := receivedGroup{parts: group.parts, crashes: len(group.backends), quarantinedUntil: group.quarantinedUntil}
		status = worse(status, c.groupStatus(now, name, local, parts))
	}
	return status
}

// worse combines the statuses of a request by two records.
func worse(a, b Status) Status {
	if b.Quarantined > a.Quarantined {
		a.Quarantined, a.Record = b.Quarantined, b.Record
	}
	a.Crashes = max(a.Crashes, b.Crashes)
	return a
}

// groupStatus returns the status of a prompt by one group: the prompt must have all parts of the group, and at least one of
// them must not have been answered as this tenant sends it.
func (c *Client) groupStatus(now time.Duration, name Fingerprint, group receivedGroup, parts []Part) Status {
	found, unanswered := 0, 0
	for _, part := range parts {
		if !slices.Contains(group.parts, part.Shared) {
			continue
		}
		found++
		if !slices.Contains(group.exempt, part.Own) && !c.parts.answered.clears(now, part) {
			unanswered++
		}
	}
	if found < len(group.parts) || unanswered == 0 {
		return Status{}
	}
	return Status{Crashes: group.crashes, Quarantined: max(0, group.quarantinedUntil-now), Record: name}
}

// unansweredParts returns the parts that may have caused a crash now; the lock is held.
func (c *Client) unansweredParts(now time.Duration, parts []Part) []Part {
	return slices.DeleteFunc(slices.Clone(parts), func(part Part) bool { return c.parts.isCleared(now, part) })
}

// noteReported remembers parts that were present at a crash; the lock is held.
func (c *Client) noteReported(parts []Part) {
	for _, part := range parts {
		if len(c.reportedParts) < maxAnsweredParts {
			c.reportedParts[part] = true
		}
	}
}

// partsAnswered records that a backend has answered a request with these parts; the lock is held. The coordinator learns of
// those that it suspects, and of those that this node has reported as present at a crash.
func (c *Client) partsAnswered(parts []Part) {
	if len(parts) == 0 {
		return
	}
	now := c.options.Now()
	for _, part := range parts {
		answered := answeredPart{part, now}
		c.parts.noteAnswered(answered)
		if c.reportedParts[part] || c.isSuspected(part) {
			delete(c.reportedParts, part)
			c.queueAnsweredPart(answered)
		}
	}
}

// isSuspected reports whether the coordinator has announced a group with a part; the lock is held.
func (c *Client) isSuspected(part Part) bool {
	for _, group := range c.groups {
		if slices.Contains(group.parts, part.Shared) && !slices.Contains(group.exempt, part.Own) {
			return true
		}
	}
	return false
}

// queueAnsweredPart queues an answered part for the coordinator; the lock is held.
func (c *Client) queueAnsweredPart(answered answeredPart) {
	if len(c.answeredParts) < maxQueuedParts {
		c.answeredParts[answered.part] = max(c.answeredParts[answered.part], answered.at)
	}
}

// receiveGroup stores an announced group; the lock is held. The coordinator learns which of its parts have been answered here.
func (c *Client) receiveGroup(announcement Announcement) {
	now := c.options.Now()
	c.groups[announcement.Request] = receivedGroup{
		parts: announcement.Parts, exempt: announcement.Exempt, crashes: len(announcement.Backends),
		quarantinedUntil: now + announcement.Quarantined,
	}
	c.hasRecords.Store(true)
	for _, shared := range announcement.Parts {
		for _, answered := range c.parts.answered.of(now, shared) {
			if !slices.Contains(announcement.Exempt, answered.part.Own) {
				c.queueAnsweredPart(answered)
			}
		}
	}
}

// expireGroups removes groups whose coordinator has not revoked them; the lock is held.
func (c *Client) expireGroups(now time.Duration) {
	if c.parts.isEmpty() {
		clear(c.reportedParts)
	}
	for name, group := range c.groups {
		if now >= group.quarantinedUntil+evidenceLifetime {
			delete(c.groups, name)
		}
	}
}
