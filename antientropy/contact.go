package antientropy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/peer"
)

// unresponsiveState describes a node that does not answer.
type unresponsiveState struct {
	since time.Time
	// until is when it is called again.
	until time.Time
}

// Responsive reports whether a node counts as responsive: it does unless a call to it has failed as described at
// ReportFailure.
func (s *Syncer) Responsive(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, unresponsive := s.unresponsive[address]
	return !unresponsive
}

// ResponsivenessChanges returns the number of times that any node has become unresponsive or responsive again.
func (s *Syncer) ResponsivenessChanges() uint64 { return s.responsivenessChanges.Load() }

// UnresponsiveFor returns how long a node has not answered; zero if it is responsive.
func (s *Syncer) UnresponsiveFor(address string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, unresponsive := s.unresponsive[address]
	if !unresponsive {
		return 0
	}
	return time.Since(state.since)
}

// ReportFailure records that a node did not answer a call. The node counts as unresponsive once a comparison
// with it fails too, or at once where no connection could be opened, until a comparison succeeds.
func (s *Syncer) ReportFailure(address string, err error) {
	if errors.Is(err, peer.ErrNotSent) {
		s.noteContact(address, err)
		return
	}
	now := time.Now()
	s.inBackground(func(ctx context.Context) { s.verify(ctx, address, now) })
}

// verify compares with a node that did not answer a call, once for all concurrent reports.
func (s *Syncer) verify(ctx context.Context, address string, failedAt time.Time) {
	_, _, _ = s.verifying.Do(address, func() (any, error) {
		_, err := s.compareOnNewConnection(ctx, address, failedAt)
		if ctx.Err() == nil {
			s.noteContact(address, err)
		}
		return nil, nil
	})
}

// markUnresponsive records that a node does not answer, and suspends calls to it for a while; the caller holds
// the lock.
func (s *Syncer) markUnresponsive(address string, err error) {
	now := time.Now()
	state, wasUnresponsive := s.unresponsive[address]
	if !wasUnresponsive {
		state.since = now
		s.responsivenessChanges.Add(1)
		s.options.Logger.Warn("node lost", "address", address, "error", err.Error())
	}
	state.until = now.Add(s.options.UnresponsiveBackoff)
	s.unresponsive[address] = state
	s.options.Client.Reset(address)
}

// noteContact records whether a node has answered a comparison.
func (s *Syncer) noteContact(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.markUnresponsive(address, err)
		return
	}
	if s.options.SameZone(address) {
		s.zoneContactAt = time.Now()
	}
	if _, wasUnresponsive := s.unresponsive[address]; wasUnresponsive {
		delete(s.unresponsive, address)
		s.responsivenessChanges.Add(1)
		s.options.Logger.Info("node back", "address", address)
	}
}

// zoneContactTimeout is how long a node without a response from its own zone waits before it exchanges objects
// with other zones itself: the time of several comparisons.
const zoneContactTimeout = 3 * time.Second

// mayExchange reports whether objects are exchanged with a node: always with nodes of this node's zone, and
// with all nodes if this node is a zone relay or gets no response from its zone. Otherwise each change would
// cross zone borders about as often as there are nodes.
func (s *Syncer) mayExchange(address string) bool {
	if s.options.SameZone(address) || s.options.IsZoneRelay() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.zoneContactAt.IsZero() || time.Since(s.zoneContactAt) > zoneContactTimeout
}
