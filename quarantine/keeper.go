package quarantine

import (
	"sync"
	"time"
)

// CoordinatorOptions are the parts of a Keeper.
type CoordinatorOptions struct {
	// Announce tells all nodes of a request. It must not call the keeper.
	Announce func(announcement Announcement)
	// Now reads a clock that counts on while the machine is suspended.
	Now func() time.Duration
}

// Announcement is what all nodes are told of a request.
type Announcement struct {
	Request Fingerprint
	// Backends are the lives of the back ends that ended under it. Without any, and where it is not
	// kept away, nothing is held against it any more.
	Backends []string
	// Quarantined is how long it is kept from back ends; zero if it is not.
	Quarantined time.Duration
}

// Status returns the standing that the announcement tells.
func (a Announcement) Status() Status {
	return Status{Crashes: len(a.Backends), Quarantined: a.Quarantined}
}

// Coordinator brings together what all nodes saw of back ends that ended, on the node that coordinates
// this. It answers requests that return to one node after the other: each of them sees less than
// the crashes that make a quarantine. It is safe for concurrent use.
type Coordinator struct {
	options CoordinatorOptions

	mu    sync.Mutex
	table *Table
	// announced is what all nodes have been told of each request that they were told of.
	announced map[Fingerprint]heardStanding
}

// NewCoordinator returns a keeper that knows of nothing.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	return &Coordinator{options: options, table: NewTable(), announced: map[Fingerprint]heardStanding{}}
}

// take takes over what a node tells, and answers it.
func (k *Coordinator) take(told report) reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	for _, request := range told.answered {
		k.table.Answered(request)
		k.announce(now, request)
	}
	answer := reply{standings: make([]Status, len(told.evidence))}
	for i, evidence := range told.evidence {
		if now-evidence.At < evidenceLifetime {
			k.table.Add(evidence.At, evidence.Request, evidence.Backend)
		}
		k.announce(now, evidence.Request)
		answer.standings[i] = k.table.Status(now, evidence.Request)
	}
	if told.all {
		for request := range k.announced {
			answer.announced = append(answer.announced, k.announcement(now, request))
		}
	}
	return answer
}

// Adopt takes over what an earlier keeper has announced, without telling it once more. The nodes
// whose evidence it was may be gone.
func (k *Coordinator) Adopt(earlier Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	k.table.Restore(now, earlier)
	k.announced[earlier.Request] = k.table.toldNow(now, earlier.Request)
}

// Restore takes over a quarantine of which the nodes may not know any more.
func (k *Coordinator) Restore(earlier Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	k.table.Restore(now, earlier)
	k.announce(now, earlier.Request)
}

// End holds nothing against a request any more.
func (k *Coordinator) End(request Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Answered(request)
	k.announce(k.options.Now(), request)
}

// Expire forgets what no longer counts, and takes back what was announced of it.
func (k *Coordinator) Expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	k.table.Expire(now)
	for request := range k.announced {
		k.announce(now, request)
	}
}

// Quarantined returns the requests that are kept away.
func (k *Coordinator) Quarantined() []Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Now()
	var kept []Announcement
	for _, request := range k.table.Quarantined(now) {
		kept = append(kept, k.announcement(now, request))
	}
	return kept
}

// announcement is what there is to tell of a request; the lock is held.
func (k *Coordinator) announcement(now time.Duration, request Fingerprint) Announcement {
	return Announcement{
		Request: request, Backends: k.table.Backends(request), Quarantined: k.table.Status(now, request).Quarantined,
	}
}

// announce tells all nodes of a request, where they do not know its standing; the lock is held. That
// a quarantine has ended they find out by themselves.
func (k *Coordinator) announce(now time.Duration, request Fingerprint) {
	standing, current := k.table.Status(now, request), k.table.toldNow(now, request)
	told, known := k.announced[request]
	switch {
	case !standing.Suspect() && known:
		delete(k.announced, request)
		k.options.Announce(Announcement{Request: request})
	case standing.Suspect() && (!known || current.crashes != told.crashes || current.quarantinedUntil > told.quarantinedUntil):
		k.announced[request] = current
		k.options.Announce(k.announcement(now, request))
	}
}
