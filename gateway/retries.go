package gateway

// noBudgetRetryAfter is the Retry-After of a request that may not be sent again for lack of retry budget. A
// client retry is a new request, and the first attempt of a request needs no retry budget.
const noBudgetRetryAfter = rejectedRetryAfter

// maySend reserves, in the retry budget, the retries that the request will have made once the given calls
// have reached backends. It reports false if the budget does not allow them. Earlier reservations are kept.
func (x *exchange) maySend(after arrivals) bool { return x.retryGrant.Reserve(after.upstreamRetries()) }

// maySendRun reports whether the request may be sent to one more backend that runs it. After a rejected
// prefill, the first run is already a retry.
func (x *exchange) maySendRun() bool { return x.maySend(x.arrivals.withRun()) }

// mayStartRun reports whether the prompt may be sent to one more engine and the run start after that. Both
// are reserved at once, so that no prompt is prefilled for a run that may not start.
func (x *exchange) mayStartRun() bool {
	after := x.arrivals.withPrefill()
	after.prefilled = true
	return x.maySend(after.withRun())
}

// runRejection returns the rejection of the request if the retry budget does not allow the run that is about
// to be sent. The cause is the failure after which the run is a retry; nil if it is not known.
func (x *exchange) runRejection(cause error) error {
	return x.budgetRejection(x.arrivals.withRun(), cause)
}

// prefillRejection is runRejection for a prefill. Whether an engine accepts it is not known yet.
func (x *exchange) prefillRejection() error { return x.budgetRejection(x.arrivals.withPrefill(), nil) }

func (x *exchange) budgetRejection(after arrivals, cause error) error {
	if !x.maySend(after) || !x.maySendNow(after) {
		return notRun(ReasonRetryBudget, x.handler.options.Policy.retryAfter(noBudgetRetryAfter), cause)
	}
	return nil
}

// maySendNow reports whether the retries of the given calls, which are reserved, may be sent now.
func (x *exchange) maySendNow(after arrivals) bool {
	return x.retryGrant.MaySend(after.upstreamRetries())
}

// returnRetries returns the retries to the budget that are reserved beyond the given calls.
func (x *exchange) returnRetries(made arrivals) { x.retryGrant.Keep(made.upstreamRetries()) }

// countRun counts a run that has reached a backend, or may have.
func (x *exchange) countRun() {
	x.arrivals = x.arrivals.withRun()
	x.retryGrant.Arrived(x.arrivals.upstreamRetries())
}

// countPrefill counts a prefill call that has reached an engine, or may have.
func (x *exchange) countPrefill(accepted bool) {
	x.arrivals = x.arrivals.withPrefill()
	x.arrivals.prefilled = x.arrivals.prefilled || accepted
	x.retryGrant.Arrived(x.arrivals.upstreamRetries())
}
