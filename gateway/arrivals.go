package gateway

// arrivals counts the calls of one request that have reached backends, or may have.
type arrivals struct {
	// prefills counts the prefill calls, runs all other calls, both whether accepted or rejected.
	prefills, runs int
	// prefilled is set once an engine has prefilled the prompt.
	prefilled bool
}

// upstreamRetries returns how many of the calls count as upstream retries. The first prefill that an engine
// accepts belongs to the first run. A prefill that was rejected, or whose outcome is unknown, counts like
// any other call.
func (a arrivals) upstreamRetries() int {
	calls := a.prefills + a.runs
	if a.prefilled {
		calls--
	}
	return max(0, calls-1)
}

// any reports whether any call has reached a backend, or may have.
func (a arrivals) any() bool { return a.prefills+a.runs > 0 }

// withRun returns the counts after one more call that runs the request.
func (a arrivals) withRun() arrivals {
	a.runs++
	return a
}

// withPrefill returns the counts after one more prefill call, accepted or not.
func (a arrivals) withPrefill() arrivals {
	a.prefills++
	return a
}
