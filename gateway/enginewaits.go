package gateway

import (
	"cmp"
	"time"
)

// isLate reports whether the request can no longer be in time: a client retry, a stream that has
// broken off, or a request whose objective has passed.
func (x *exchange) isLate() bool {
	return x.isClientRetry() || x.answered || x.sinceArrival() >= x.route.Objective
}

// coordinatedWait returns how long the request may wait for engines from now on. A first attempt waits as
// long as it can still be in time, which the coordinator estimates.
func (x *exchange) coordinatedWait() time.Duration {
	if !x.isLate() {
		return x.route.Objective - x.sinceArrival()
	}
	return min(x.remainingWait(), x.left())
}

// remainingWait returns how much longer the request may wait for engines: its caller disconnects soon after that.
func (x *exchange) remainingWait() time.Duration {
	callerTimeout := cmp.Or(x.route.CallerEventTimeout, x.route.Objective)
	wait := time.Duration(x.handler.options.Policy.RetryWait * float64(callerTimeout))
	if x.answered {
		// The caller of a broken stream has received events until now.
		return wait
	}
	return wait - x.sinceArrival()
}

// firstTokenBudget returns the time from now on within which the first token should arrive. A late request
// gets the whole objective, so that its prompt is not prefilled long after others.
func (x *exchange) firstTokenBudget() time.Duration {
	if x.isLate() {
		return x.route.Objective
	}
	return x.route.Objective - x.sinceArrival()
}

// uncoordinatedWait returns how long the request may wait from now on without a coordinator.
func (x *exchange) uncoordinatedWait() time.Duration {
	switch {
	case x.answered:
		return x.route.Objective
	case x.isLate():
		return x.route.Objective - x.sinceArrival()
	default:
		return time.Duration(x.handler.options.Policy.UncoordinatedWait*float64(x.route.Objective)) - x.sinceArrival()
	}
}

// isClientRetry reports whether the request is a retry by a caller that was rejected before.
func (x *exchange) isClientRetry() bool { return x.clientRetry.age > minClientRetryAge }
