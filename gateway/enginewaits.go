package gateway

import (
	"cmp"
	"time"
)

// isLate reports whether the request is late whatever becomes of it: a retry, a stream that has
// broken off, or one whose objective has passed.
func (x *exchange) isLate() bool {
	return x.isRetry() || x.answered || x.since() >= x.route.Objective
}

// coordinatedWait returns how long the request may wait for engines from now on. A first
// attempt waits as long as it can be in time; the coordinator knows what that is.
func (x *exchange) coordinatedWait() time.Duration {
	if !x.isLate() {
		return x.route.Objective - x.since()
	}
	patience := cmp.Or(x.route.CallerEventTimeout, x.route.Objective)
	wait := time.Duration(x.handler.options.Policy.RetryWait * float64(patience))
	if !x.answered {
		// The caller of a broken stream has heard of it until now.
		wait -= x.since()
	}
	return min(wait, x.left())
}

// within returns in what time from now on the first token should come. One that is late has
// the whole objective, so that it is not read long after others.
func (x *exchange) within() time.Duration {
	if x.isLate() {
		return x.route.Objective
	}
	return x.route.Objective - x.since()
}

// aloneWait returns how long the request may wait from now on without a coordinator.
func (x *exchange) aloneWait() time.Duration {
	switch {
	case x.answered:
		return x.route.Objective
	case x.isLate():
		return x.route.Objective - x.since()
	default:
		return time.Duration(x.handler.options.Policy.UncoordinatedWait*float64(x.route.Objective)) - x.since()
	}
}

// isRetry reports whether the caller was refused before.
func (x *exchange) isRetry() bool { return x.retry.age > retryAge }
