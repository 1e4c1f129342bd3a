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

// heard notes what the back end has said of itself at a Unix millisecond. It reports what of that was not
// known.
func (e *Entry) heard(said Notice, at int64) Notice {
	if said.IsEmpty() {
		return Notice{}
	}
	news := Notice{Leaving: said.Leaving && e.heardLeaving(), Backoff: e.heardBackoff(said.Backoff)}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed().heardAt = at
	return news
}

// heardLeaving notes that the back end has said that it leaves. It reports whether that is news.
func (e *Entry) heardLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.saidLeaving.CompareAndSwap(false, true) {
		return false
	}
	if seen := e.observed(); seen.leavingAt.IsZero() {
		seen.leavingAt = e.now()
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
	now, period := e.now(), &e.observed().backoff
	begins := !now.Before(period.until)
	if begins {
		period.from = now
	}
	if until := now.Add(backoff); until.After(period.until) {
		period.until = until
	}
	if !begins {
		return 0
	}
	return backoff
}

// BackoffRemaining returns for how much longer the back end wants no request from this node; zero where it is
// not in backoff.
func (e *Entry) BackoffRemaining() time.Duration {
	if !e.askedForBackoff.Load() {
		return 0
	}
	return max(0, e.observations().backoff.until.Sub(e.now()))
}

// BackingOffFor returns how long ago the backoff began that the back end is in; zero where it has none.
func (e *Entry) BackingOffFor() time.Duration {
	now, period := e.now(), e.observations().backoff
	if !now.Before(period.until) {
		return 0
	}
	return now.Sub(period.from)
}

// isWithheld reports whether the back end has said something for which this node gives it no work now.
func (e *Entry) isWithheld() bool { return e.saidLeaving.Load() || e.BackoffRemaining() > 0 }

// adopt takes over what the same life said before its entry was removed for a while.
func (e *Entry) adopt(before *Entry) {
	if before.saidLeaving.Load() {
		e.heardLeaving()
	}
	if before.askedForBackoff.Load() {
		e.setBackoff(before.observations().backoff)
	}
}

// setBackoff puts a backoff into force in place of any other.
func (e *Entry) setBackoff(period backoffPeriod) {
	e.askedForBackoff.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observed().backoff = period
}

// unsureLeaving is how long a new life is given nothing where it may be the one that said that it leaves. It
// is a few times as long as back ends serve on (2 to 3 s on the sites' sheets); if it does leave, its next
// answer or its entry says so, and if clocks disagree, and it was the life before, it is used again.
const unsureLeaving = 10 * time.Second

// inherit takes over what was heard from the life before, if that was not before this one began. It
// reports whether there was anything.
func (e *Entry) inherit(before *Entry) bool {
	seen := before.observations()
	if seen.heardAt < e.Backend().StartedAt {
		return false
	}
	now, period := e.now(), seen.backoff
	if before.saidLeaving.Load() {
		period = backoffPeriod{from: now, until: now.Add(unsureLeaving)}
	}
	if !now.Before(period.until) {
		return false
	}
	e.setBackoff(period)
	return true
}
