package antientropy

import "time"

// Agreement tells how far this node's copy is known to be like those of others.
type Agreement struct {
	// Age is how long ago a comparison found no difference, or an exchange of objects ended well. It counts from
	// the start of the node where neither has happened.
	Age time.Duration
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

// Agreement returns how far the copy is known to be like others.
func (s *Syncer) Agreement() Agreement {
	s.mu.Lock()
	defer s.mu.Unlock()
	agreement := Agreement{Age: time.Since(s.agreedAt), Exchanges: len(s.exchanging)}
	for _, exchange := range s.exchanging {
		agreement.OldestExchange = max(agreement.OldestExchange, time.Since(exchange.began))
	}
	return agreement
}

// noteAgreement notes that the copy is like another one.
func (s *Syncer) noteAgreement() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreedAt = time.Now()
}
