package antientropy

import (
	"math"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
)

// SyncStatus describes how current this node's replica is known to be.
type SyncStatus struct {
	// UrgentAge is the time since a node that watches the store is known to have had the urgent objects of this
	// replica, as reported by other nodes. It counts from the start of the node if none has reported.
	UrgentAge time.Duration
	// Exchanges is the number of exchanges of objects in progress, and OldestExchange the age of the oldest.
	Exchanges      int
	OldestExchange time.Duration
}

// ongoingExchange is an exchange of objects with another node.
type ongoingExchange struct {
	began time.Time
	// differedAgain is set once a comparison has found a difference during the exchange.
	differedAgain bool
}

// SyncStatus returns how current the replica is known to be.
func (s *Syncer) SyncStatus() SyncStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := SyncStatus{UrgentAge: time.Since(s.confirmedAt), Exchanges: len(s.exchanging)}
	for _, exchange := range s.exchanging {
		status.OldestExchange = max(status.OldestExchange, time.Since(exchange.began))
	}
	return status
}

// noteConfirmed records that a node which watches the store had the urgent objects of this replica at the given
// time.
func (s *Syncer) noteConfirmed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// reportedUrgentAge is the age of the urgent objects that is reported to other nodes, in milliseconds.
func (s *Syncer) reportedUrgentAge() uint32 {
	if s.options.WatchesStore() {
		return 0
	}
	return uint32(min(s.SyncStatus().UrgentAge.Milliseconds(), math.MaxUint32))
}

// confirmedAt returns the latest time at which a node that watches the store is known to have had the urgent
// objects of another node, from that node's response to a call which began at the given time.
func confirmedAt(began time.Time, versions *peerpb.ReplicaVersions) time.Time {
	return began.Add(-time.Duration(versions.GetUrgentAgeMs()) * time.Millisecond)
}
