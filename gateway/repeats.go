package gateway

// retryNoRepeats is when a caller comes back whose request may not be sent again: repeats of the requests
// that come meanwhile are allowed again.
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

// sendRun counts the run that is about to be sent. It returns the refusal of the request if the retry budget
// does not have that.
func (x *exchange) sendRun() error { return x.send(x.arrivals.withRun()) }

// sendPrompt is sendRun for a prompt. Whether an engine takes it up is not known yet.
func (x *exchange) sendPrompt() error { return x.send(x.arrivals.withPrompt()) }

func (x *exchange) send(after arrivals) error {
	if !x.maySend(after) || !x.repeats.Send(after.beyondFirst()) {
		return notRun(ReasonRetryBudget, retryNoRepeats, nil)
	}
	return nil
}

// settleRepeats gives back what was counted for a call that was not sent, or for a prompt that was read.
func (x *exchange) settleRepeats() { x.repeats.Unsend(x.arrivals.beyondFirst()) }
