package backend

import "time"

// Notice is what a back end says of itself in an answer, beside the answer.
type Notice struct {
	// Leaving is set where it is about to end and wants no new requests.
	Leaving bool
	// Rest is how long it wants no request from this node; zero where it did not ask for rest.
	Rest time.Duration
}

// IsEmpty reports whether the back end has said nothing.
func (n Notice) IsEmpty() bool { return n == Notice{} }

// Observer is called with what a back end has said in an answer, before the answer is used.
type Observer func(target Backend, said Notice)

// Heard notes what a back end has said of itself. It reports what of that was not known.
func (e *Entry) Heard(said Notice) Notice {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var news Notice
	if said.Leaving && e.saidLeavingAt.IsZero() {
		e.saidLeavingAt = now
		news.Leaving = true
	}
	if until := now.Add(said.Rest); said.Rest > 0 && until.After(e.restUntil) {
		if !now.Before(e.restUntil) {
			news.Rest = said.Rest
		}
		e.restUntil = until
	}
	return news
}

// SaidLeaving reports whether the back end itself has said that it leaves, and how long ago.
func (e *Entry) SaidLeaving() (ago time.Duration, said bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.saidLeavingAt.IsZero() {
		return 0, false
	}
	return e.now().Sub(e.saidLeavingAt), true
}

// RestLeft returns for how much longer the back end wants no request from this node.
func (e *Entry) RestLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restUntil.IsZero() {
		return 0
	}
	return max(0, e.restUntil.Sub(e.now()))
}
