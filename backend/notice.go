package backend

import "time"

// Notice is what a back end says of itself in an answer, beside the answer.
type Notice struct {
	// Leaving is set where it is about to end and wants no new requests.
	Leaving bool
	// Backoff is how long it wants no request from this node; zero where it did not ask for backoff.
	Backoff time.Duration
}

// IsEmpty reports whether the back end has said nothing.
func (n Notice) IsEmpty() bool { return n == Notice{} }

// Observer is called with what a back end has said in an answer, before the answer is used.
type Observer func(target Backend, said Notice)

// Heard notes what a back end has said of itself. It reports what of that was not known.
func (e *Entry) Heard(said Notice) Notice {
	return Notice{Leaving: said.Leaving && e.heardLeaving(), Backoff: e.heardBackoff(said.Backoff)}
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

// heardBackoff notes for how long the back end wants no request. It returns that time where it begins a
// backoff, and zero where the back end is in backoff already or wants none.
func (e *Entry) heardBackoff(backoff time.Duration) time.Duration {
	if backoff == 0 {
		return 0
	}
	e.askedForBackoff.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	begins := !now.Before(e.backoffUntil)
	if begins {
		e.backoffFrom = now
	}
	if until := now.Add(backoff); until.After(e.backoffUntil) {
		e.backoffUntil = until
	}
	if !begins {
		return 0
	}
	return backoff
}

// BackoffLeft returns for how much longer the back end wants no request from this node; zero where it is
// not in backoff.
func (e *Entry) BackoffLeft() time.Duration {
	if !e.askedForBackoff.Load() {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.backoffUntil.Sub(e.now()))
}

// BackingOffFor returns how long ago the backoff began that the back end is in; zero where it has none.
func (e *Entry) BackingOffFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !now.Before(e.backoffUntil) {
		return 0
	}
	return now.Sub(e.backoffFrom)
}

// isWithheld reports whether the back end has said something for which this node gives it no work now.
func (e *Entry) isWithheld() bool { return e.saidLeaving.Load() || e.BackoffLeft() > 0 }

// adopt takes over what the same life said before its entry was removed for a while.
func (e *Entry) adopt(before *Entry) {
	if before.saidLeaving.Load() {
		e.heardLeaving()
	}
	before.mu.Lock()
	from, until := before.backoffFrom, before.backoffUntil
	before.mu.Unlock()
	e.askedForBackoff.Store(before.askedForBackoff.Load())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backoffFrom, e.backoffUntil = from, until
}
