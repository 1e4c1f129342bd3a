package antientropy

import (
	"math"
	"time"

	"github.com/reelrun/reelrun/peer/peerpb"
)

// SyncStatus tells how far this node's copy is known to be like those of others.
type SyncStatus struct {
	// UrgentAge is how long ago the urgent objects of the copy were those of a node that follows the store, as far as
	// other nodes tell. It counts from the start of the node where none has told.
	UrgentAge time.Duration
	// Exchanges is how many exchanges of objects are under way, and OldestExchange how long the first of them is.
	Exchanges      int
	OldestExchange time.Duration
}

// ongoingExchange is an exchange of objects with another node.
type ongoingExchange struct {
	began time.Time
	// missed is set once a comparison has found a difference meanwhile.
	missed bool
}

// SyncStatus returns how far the copy is known to be like others.
func (s *Syncer) SyncStatus() SyncStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	agreement := SyncStatus{UrgentAge: time.Since(s.agreedAt), Exchanges: len(s.exchanging)}
	for _, exchange := range s.exchanging {
		agreement.OldestExchange = max(agreement.OldestExchange, time.Since(exchange.began))
	}
	return agreement
}

// noteAgreement notes that the urgent objects of the copy are those that a node which follows the store had at a
// moment.
func (s *Syncer) noteAgreement(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.agreedAt) {
		s.agreedAt = at
	}
}

// ageToTell is the age of the urgent objects as other nodes are told it, in milliseconds.
func (s *Syncer) ageToTell() uint32 {
	if s.options.WatchesStore() {
		return 0
	}
	return uint32(min(s.SyncStatus().UrgentAge.Milliseconds(), math.MaxUint32))
}

// agreedAt returns when a node that follows the store had the urgent objects that another node has, by what that one
// answered to a call which began at a moment.
func agreedAt(began time.Time, versions *peerpb.ReplicaVersions) time.Time {
	return began.Add(-time.Duration(versions.GetUrgentAgeMs()) * time.Millisecond)
}
