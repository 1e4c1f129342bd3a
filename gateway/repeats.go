package gateway

// retryNoRepeats is when a caller comes back whose request may not be sent again: repeats of the requests
// that come meanwhile are allowed again.
const retryNoRepeats = retryShed

// maySend asks the retry budget for the repeats that the request has made once the given calls have reached
// back ends. It reports false if the budget does not have them. Those that were asked for before are kept.
func (x *exchange) maySend(after arrivals) bool {
	missing := after.beyondFirst() - x.repeats
	if missing <= 0 {
		return true
	}
	if !x.handler.options.Budget.TryRepeat(x.service, missing) {
		return false
	}
	x.repeats += missing
	return true
}

// maySendRun reports whether the request may be sent to one more back end that runs it. A prompt that was
// rejected makes its first run a repeat.
func (x *exchange) maySendRun() bool {
	after := x.arrivals
	after.runs++
	return x.maySend(after)
}

// mayStartRun reports whether the prompt may be sent to one more engine and the run begin after that. Both
// are asked for at once, so that no prompt is read for a run that may not begin.
func (x *exchange) mayStartRun() bool {
	after := x.arrivals
	after.prompts++
	after.promptRead = true
	after.runs++
	return x.maySend(after)
}
