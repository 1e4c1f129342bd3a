package softwareversions

import "time"

// retention is how long a version is published after the last backend that had it is gone. It exceeds the time for which
// callers wait for a stream, with all their attempts.
const retention = 10 * time.Minute

// tracker decides what the published record must contain, from the versions that this node has seen and the records that
// it has received.
type tracker struct {
	// seen is when this node last saw a backend of each version, or received a record that named it.
	seen versionSets[time.Duration]
	// firstEpoch is the store's epoch as this node first knew it, at startedAt.
	firstEpoch int64
	startedAt  time.Duration
	hasStarted bool
}

// observe records the versions that the backends of each service have now.
func (t *tracker) observe(now time.Duration, present map[string][]string, epoch int64) {
	if !t.hasStarted {
		t.hasStarted, t.firstEpoch, t.startedAt = true, epoch, now
	}
	t.note(now, present)
}

// note records versions as seen now.
func (t *tracker) note(now time.Duration, services map[string][]string) {
	for service, versions := range services {
		for _, version := range versions {
			t.seen.set(service, version, now)
		}
	}
}

// receive records the versions of a published record. Those that this node has not seen itself count as seen now: it cannot
// know when their last backend left.
func (t *tracker) receive(now time.Duration, published Record) {
	for service, versions := range published.Services {
		for _, version := range versions {
			if _, known := t.seen[service][version]; !known {
				t.seen.set(service, version, now)
			}
		}
	}
}

// wanted returns what the record must contain, given what is published.
func (t *tracker) wanted(now time.Duration, published Record, epoch int64) Record {
	for service, versions := range t.seen {
		for version, at := range versions {
			if now-at > retention {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(t.seen, service)
		}
	}
	wanted := Record{Services: t.seen.lists(), Epoch: published.Epoch}
	if t.knowsBefore(now, epoch) {
		wanted.Epoch = max(epoch, published.Epoch)
	}
	return wanted
}

// knowsBefore reports whether this node knows the versions of the time before the epoch began, as far as they still matter.
func (t *tracker) knowsBefore(now time.Duration, epoch int64) bool {
	return t.firstEpoch < epoch || now-t.startedAt > retention
}
