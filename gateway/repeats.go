package gateway

// retryNoRepeats is when a caller comes back whose request may not be sent again. What it sends then is a
// first attempt, which asks for no repeat.
const retryNoRepeats = retryShed

// maySend asks the retry budget for the repeats that the request has made once the given calls have reached
// back ends. It reports false if the budget does not have them. Those that were asked for before are kept.
func (x *exchange) maySend(after arrivals) bool { return x.repeats.Reserve(after.beyondFirst()) }

// maySendRun reports whether the request may be sent to one more back end that runs it. A prompt that was
// rejected makes its first run a repeat.
func (x *exchange) maySendRun() bool { return x.maySend(x.arrivals.withRun()) }

// mayStartRun reports whether the prompt may be sent to one more engine and the run begin after that. Both
// are asked for at once, so that no prompt is read for a run that may not begin.
func (x *exchange) mayStartRun() bool {
	after := x.arrivals.withPrompt()
	after.promptRead = true
	return x.maySend(after.withRun())
}

// runRefusal returns the refusal of the request if the retry budget does not have the run that is about to be
// sent. The cause is why it would be a repeat, where that is known.
func (x *exchange) runRefusal(cause error) error { return x.refusalOf(x.arrivals.withRun(), cause) }

// promptRefusal is runRefusal for a prompt. Whether an engine takes it up is not known yet.
func (x *exchange) promptRefusal() error { return x.refusalOf(x.arrivals.withPrompt(), nil) }

func (x *exchange) refusalOf(after arrivals, cause error) error {
	if !x.maySend(after) || !x.repeats.MaySend(after.beyondFirst()) {
		return notRun(ReasonRetryBudget, x.handler.options.Policy.retryAfter(retryNoRepeats), cause)
	}
	return nil
}

// runArrived counts a run that has reached a back end, or may have.
func (x *exchange) runArrived() {
	x.arrivals = x.arrivals.withRun()
	x.repeats.Arrived(x.arrivals.beyondFirst())
}

// promptArrived counts a prompt that has reached an engine, or may have.
func (x *exchange) promptArrived(read bool) {
	x.arrivals = x.arrivals.withPrompt()
	x.arrivals.promptRead = x.arrivals.promptRead || read
	x.repeats.Arrived(x.arrivals.beyondFirst())
}
