package antientropy

import (
	"math/rand/v2"
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

// draw returns up to count nodes for one round. A round of news goes to partners; others take
// turns between partners and the nodes that hear first from the store, so that these are
// known to live or not wherever they are.
func (s *Syncer) draw(count int, isNews bool) []string {
	now := time.Now()
	var candidates, silent []string
	if !isNews && s.isSourceRound() {
		candidates, silent = s.available(s.options.Sources(), now)
	}
	if len(candidates) == 0 {
		candidates, silent = s.available(s.options.Peers(), now)
		candidates = s.partners(candidates, now)
	}
	candidates = append(candidates, silent...)
	shuffle(candidates)
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
	shuffle(silent)
	return answering, silent[:min(retriedSilent, len(silent))]
}

// partners returns this node's partners of the present period among others.
func (s *Syncer) partners(addresses []string, now time.Time) []string {
	period := strconv.FormatInt(int64(now.Sub(s.started)/partnerPeriod), 10)
	return placement.Top(s.salt+"/"+period, addresses, partnerCount)
}

func shuffle(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
}
