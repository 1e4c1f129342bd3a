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
	return Notice{Leaving: said.Leaving && e.heardLeaving(), Rest: e.heardRest(said.Rest)}
}

// heardLeaving notes that the back end has said that it leaves. It reports whether that is news.
func (e *Entry) heardLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.saidLeaving.CompareAndSwap(false, true) {
		return false
	}
	if e.leavingAt.IsZero() {
		e.leavingAt = e.now()
	}
	return true
}

// heardRest notes for how long the back end wants no request. It returns that time where it begins a
// rest, and zero where the back end is at rest already or wants none.
func (e *Entry) heardRest(rest time.Duration) time.Duration {
	if rest == 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	begins := !now.Before(e.restUntil)
	if begins {
		e.restFrom = now
	}
	if until := now.Add(rest); until.After(e.restUntil) {
		e.restUntil = until
	}
	if !begins {
		return 0
	}
	return rest
}

// RestLeft returns for how much longer the back end wants no request from this node; zero where it is
// not at rest.
func (e *Entry) RestLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.restUntil.IsZero() {
		return 0
	}
	return max(0, e.restUntil.Sub(e.now()))
}

// RestingFor returns how long ago the rest began that the back end has now; zero where it has none.
func (e *Entry) RestingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !now.Before(e.restUntil) {
		return 0
	}
	return now.Sub(e.restFrom)
}

// isWithheld reports whether the back end has said something for which this node gives it no work now.
func (e *Entry) isWithheld() bool { return e.saidLeaving.Load() || e.RestLeft() > 0 }

// adopt takes over what the same life said before its entry was removed for a while.
func (e *Entry) adopt(before *Entry) {
	if before.saidLeaving.Load() {
		e.heardLeaving()
	}
	before.mu.Lock()
	from, until := before.restFrom, before.restUntil
	before.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restFrom, e.restUntil = from, until
}
