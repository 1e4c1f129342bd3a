package antientropy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer"
)

// silence is a time in which a node has not answered.
type silence struct {
	since time.Time
	// until is when it is asked again.
	until time.Time
}

// Responsive reports whether a node answered when it was last called.
func (s *Syncer) Responsive(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, silent := s.silent[address]
	return !silent
}

// ResponsivenessChanges counts how often a node has fallen silent or answered again so far.
func (s *Syncer) ResponsivenessChanges() uint64 { return s.contactChanges.Load() }

// UnresponsiveFor returns how long a node has not answered; zero if it does.
func (s *Syncer) UnresponsiveFor(address string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, silent := s.silent[address]
	if !silent {
		return 0
	}
	return time.Since(current.since)
}

// ReportFailure notes that a node did not answer a call. It counts as silent until a comparison with it
// succeeds; where a connection to it could be opened, one is made first.
func (s *Syncer) ReportFailure(address string, err error) {
	if errors.Is(err, peer.ErrNotSent) {
		s.noteContact(address, err)
		return
	}
	now := time.Now()
	s.inBackground(func(ctx context.Context) { s.verify(ctx, address, now) })
}

// verify compares the copy with that of a node that did not answer a call, once for all who ask
// at the same time.
func (s *Syncer) verify(ctx context.Context, address string, failedAt time.Time) {
	_, _, _ = s.verifying.Do(address, func() (any, error) {
		_, err := s.compareAnew(ctx, address, failedAt)
		if ctx.Err() == nil {
			s.noteContact(address, err)
		}
		return nil, nil
	})
}

// noteSilent leaves a node alone for a while; the lock is held.
func (s *Syncer) noteSilent(address string, err error) {
	now := time.Now()
	current, known := s.silent[address]
	if !known {
		current.since = now
		s.contactChanges.Add(1)
		s.options.Logger.Warn("node lost", "address", address, "error", err.Error())
	}
	current.until = now.Add(s.options.UnresponsiveBackoff)
	s.silent[address] = current
	s.options.Client.Reset(address)
}

// noteContact notes whether a node has answered a comparison.
func (s *Syncer) noteContact(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.noteSilent(address, err)
		return
	}
	if s.options.SameZone(address) {
		s.neighbourAt = time.Now()
	}
	if _, wasSilent := s.silent[address]; wasSilent {
		delete(s.silent, address)
		s.contactChanges.Add(1)
		s.options.Logger.Info("node back", "address", address)
	}
}

// neighbourPatience is how long a node without an answer of its own zone waits before it exchanges
// objects with other zones itself: some comparisons.
const neighbourPatience = 3 * time.Second

// mayExchange reports whether objects are exchanged with a node: with those of the own zone, and, where
// this node is a bridge or hears of no neighbour, with all. Each change would cross the borders of zones
// about as often as there are nodes otherwise.
func (s *Syncer) mayExchange(address string) bool {
	if s.options.SameZone(address) || s.options.IsZoneRelay() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.neighbourAt.IsZero() || time.Since(s.neighbourAt) > neighbourPatience
}
