package antientropy

import (
	"strconv"
	"time"

	"github.com/reelrun/reelrun/placement"
)

const (
	// partnerCount is how many nodes one node compares its copy with in a period. Each draws
	// others, so that news reach a fleet of any size in a number of rounds that grows with
	// its logarithm, while connections do not grow with it.
	partnerCount = 12
	// partnerPeriod is how long it keeps to them. It then draws others, so that no part of a
	// fleet stays apart.
	partnerPeriod = 30 * time.Second
	// retriedSilent is how many nodes that did not answer are tried again in a draw.
	retriedSilent = 2
)

// sourcePeriod is the time in which a node looks at most of its sources, however many these are.
const sourcePeriod = 20 * time.Second

// draw returns the nodes for one round without news. Rounds take turns between partners, one a round,
// and the nodes that hear first from the store, so that these are known to live or not wherever they
// are. Partners are in the zone of this node unless it is a bridge: with others it exchanges nothing.
func (s *Syncer) draw() []string {
	now := time.Now()
	if s.isSourceRound() {
		candidates, silent := s.available(s.options.Monitored(), now)
		if len(candidates) > 0 {
			// Every second round is one of these.
			rounds := int(sourcePeriod / (2 * s.options.Interval))
			return s.drawFrom(append(candidates, silent...), 1+len(candidates)/rounds)
		}
	}
	candidates, silent := s.available(s.options.Peers(), now)
	if !s.options.IsZoneRelay() {
		candidates = s.inZone(candidates)
	}
	return s.drawFrom(append(s.partners(candidates, now), silent...), 1)
}

// newsTargets returns the nodes to which news are brought: up to count partners within the zone of this
// node, and the relays of other zones. News would cross the border of a zone about as often as there are
// nodes otherwise, and bytes between zones cost.
func (s *Syncer) newsTargets(count int) (near, relays []string) {
	now := time.Now()
	answering, silent := s.available(s.options.Peers(), now)
	candidates := append(s.partners(s.inZone(answering), now), silent...)
	relays, _ = s.available(s.options.RemoteRelays(), now)
	return s.drawFrom(s.notBringing(candidates), count), s.notBringing(relays)
}

// inZone returns the nodes in the zone of this one, or all where there are none.
func (s *Syncer) inZone(addresses []string) []string {
	var near []string
	for _, address := range addresses {
		if s.options.SameZone(address) {
			near = append(near, address)
		}
	}
	if len(near) == 0 {
		return addresses
	}
	return near
}

func (s *Syncer) drawFrom(candidates []string, count int) []string {
	s.shuffle(candidates)
	return candidates[:min(count, len(candidates))]
}

// isSourceRound reports whether it is the turn of the nodes that hear first from the store.
func (s *Syncer) isSourceRound() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rounds++
	return s.rounds%2 == 0
}

// available returns the nodes that answered when they were last called, and a few of those
// that did not and are not left alone at present: these are tried again.
func (s *Syncer) available(addresses []string, now time.Time) (answering, silent []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, address := range addresses {
		known, isSilent := s.silent[address]
		switch {
		case !isSilent:
			answering = append(answering, address)
		case !now.Before(known.until):
			silent = append(silent, address)
		}
	}
	s.shuffle(silent)
	return answering, silent[:min(retriedSilent, len(silent))]
}

// partners returns this node's partners of the present period among others.
func (s *Syncer) partners(addresses []string, now time.Time) []string {
	period := strconv.FormatInt(int64(now.Sub(s.started)/partnerPeriod), 10)
	return placement.Top(s.salt+"/"+period, addresses, partnerCount)
}

func (s *Syncer) shuffle(addresses []string) {
	s.permute(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
