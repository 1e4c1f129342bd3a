package peer

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// RoundTrip is a ping to another node whose answer may be outstanding.
type RoundTrip struct {
	session *clientSession
	address string
	// state is a roundTripState.
	state atomic.Int32
}

// The states of a round trip.
const (
	roundTripPending int32 = iota
	roundTripAnswered
	roundTripFailed
)

// BeginRoundTrip pings a node that has answered on its session before. It reports false if there is none.
func (c *Client) BeginRoundTrip() (*RoundTrip, bool) {
	address, session := c.anyMeasuredSession()
	if session == nil {
		return nil, false
	}
	trip := &RoundTrip{session: session, address: address}
	go func() {
		took, err := session.mux.Ping()
		if err != nil {
			trip.state.Store(roundTripFailed)
			return
		}
		session.noteRoundTrip(took)
		trip.state.Store(roundTripAnswered)
	}()
	return trip, true
}

// anyMeasuredSession returns a session for short calls whose usual round trip is known, with its address, or nil.
func (c *Client) anyMeasuredSession() (string, *clientSession) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var measured []string
	for key, session := range c.sessions {
		if key.lane == LaneControl && !session.mux.IsClosed() && session.usualRoundTrip() > 0 {
			measured = append(measured, key.address)
		}
	}
	if len(measured) == 0 {
		return "", nil
	}
	address := measured[rand.IntN(len(measured))]
	return address, c.sessions[sessionKey{address, LaneControl}]
}

// Acknowledged reports whether the node has answered, and false for known if it cannot any more.
func (t *RoundTrip) Acknowledged() (acknowledged, known bool) {
	state := t.state.Load()
	return state == roundTripAnswered, state != roundTripFailed
}

// Usual returns how long the shortest exchange with the node has taken.
func (t *RoundTrip) Usual() time.Duration { return t.session.usualRoundTrip() }

// Node returns the address of the other node.
func (t *RoundTrip) Node() string { return t.address }

// noteRoundTrip records how long an exchange has taken.
func (s *clientSession) noteRoundTrip(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shortest == 0 || took < s.shortest {
		s.shortest = took
	}
}

func (s *clientSession) usualRoundTrip() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shortest
}
