package antientropy

import (
	"strconv"
	"time"

	"github.com/reelrun/reelrun/placement"
)

const (
	// partnerCount is the number of nodes with which one node compares its replica in a period. Each node
	// selects different ones, so that updates reach a fleet of any size in a number of rounds that grows with
	// its logarithm, while the number of connections does not grow with it.
	partnerCount = 12
	// partnerPeriod is how long a node keeps its partners. It then selects others, so that no part of a fleet
	// stays isolated.
	partnerPeriod = 30 * time.Second
	// retriedUnresponsive is the number of unresponsive nodes that are retried in one selection.
	retriedUnresponsive = 2
)

// monitorPeriod is the time in which a node compares with most of its monitored nodes, however many there are.
const monitorPeriod = 20 * time.Second

// selectPeers returns the nodes for one round of periodic comparisons. Rounds alternate between the partners, one
// per round, and the monitored nodes, so that this node detects which of the latter are responsive, whatever their
// zone. Partners are in this node's zone unless it is a zone relay: other nodes exchange no objects with other
// zones.
func (s *Syncer) selectPeers() []string {
	now := time.Now()
	if s.isMonitorRound() {
		candidates, unresponsive := s.available(s.options.Monitored(), now)
		if len(candidates) > 0 {
			// Every second round is for monitored nodes.
			rounds := int(monitorPeriod / (2 * s.options.Interval))
			return s.sample(append(candidates, unresponsive...), 1+len(candidates)/rounds)
		}
	}
	candidates, unresponsive := s.available(s.options.Peers(), now)
	if !s.options.IsZoneRelay() {
		candidates = s.inZone(candidates)
	}
	return s.sample(append(s.partners(candidates, now), unresponsive...), 1)
}

// pushTargets returns the nodes to which updates are pushed: up to count partners within this node's zone, and
// the relays of other zones. Otherwise updates would cross zone borders about as often as there are nodes, and
// traffic between zones is charged.
func (s *Syncer) pushTargets(count int) (zonePeers, relays []string) {
	now := time.Now()
	responsive, unresponsive := s.available(s.options.Peers(), now)
	candidates := append(s.partners(s.inZone(responsive), now), unresponsive...)
	relays, _ = s.available(s.options.RemoteRelays(), now)
	return s.sample(s.notPushing(candidates), count), s.notPushing(relays)
}

// inZone returns the nodes in this node's zone, or all if there are none.
func (s *Syncer) inZone(addresses []string) []string {
	var zonePeers []string
	for _, address := range addresses {
		if s.options.SameZone(address) {
			zonePeers = append(zonePeers, address)
		}
	}
	if len(zonePeers) == 0 {
		return addresses
	}
	return zonePeers
}

func (s *Syncer) sample(candidates []string, count int) []string {
	s.shuffle(candidates)
	return candidates[:min(count, len(candidates))]
}

// isMonitorRound counts a new round and reports whether it is for the monitored nodes.
func (s *Syncer) isMonitorRound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	return s.rounds%2 == 0
}

// available returns the responsive nodes, and a few of the unresponsive ones whose backoff has expired, which
// are retried.
func (s *Syncer) available(addresses []string, now time.Time) (responsive, unresponsive []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		state, isUnresponsive := s.unresponsive[address]
		switch {
		case !isUnresponsive:
			responsive = append(responsive, address)
		case !now.Before(state.until):
			unresponsive = append(unresponsive, address)
		}
	}
	s.shuffle(unresponsive)
	return responsive, unresponsive[:min(retriedUnresponsive, len(unresponsive))]
}

// partners returns this node's partners for the current period.
func (s *Syncer) partners(addresses []string, now time.Time) []string {
	period := strconv.FormatInt(int64(now.Sub(s.started)/partnerPeriod), 10)
	return placement.Top(s.salt+"/"+period, addresses, partnerCount)
}

func (s *Syncer) shuffle(addresses []string) {
	s.permute(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
