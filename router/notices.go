package router

import "github.com/reelrun/reelrun/backend"

// handleNotice records the notice in a backend's response and logs what is new: one line when the backend
// first reports that it is leaving, and one each time that it requests backoff. A repeated notice means
// that a request was sent to the backend in spite of the first one, and is counted for the next summary.
func (r *Router) handleNotice(target backend.Backend, notice backend.Notice) {
	change := r.backends.RecordNotice(target, notice)
	if change.Leaving {
		r.metrics.Add("backends_said_leaving", 1)
		r.options.Logger.Info("back end leaves", "backend", target.ID, "service", target.Service, "role", string(target.Role),
			"state_in_store", string(target.State), "source", "answer")
	}
	if change.Backoff > 0 {
		r.metrics.Add("backends_asked_for_backoff", 1)
		r.options.Logger.Info("back end asks for backoff", "backend", target.ID, "service", target.Service, "role", string(target.Role),
			"backoff_ms", change.Backoff.Milliseconds())
	}
	r.handleLimit(target, notice.Limit, change.Limit)
	if repeated := (backend.Notice{Leaving: notice.Leaving, Backoff: notice.Backoff}); change.IsEmpty() && !repeated.IsEmpty() {
		r.metrics.Add("backends_heard_again", 1)
		r.repeatedNotices.add(target.ID)
	}
}

// handleLimit logs that a backend limits its requests, changes the limit, or limits them no longer, and counts its
// responses while it does.
func (r *Router) handleLimit(target backend.Backend, stated, change backend.RequestLimit) {
	switch change.Statement {
	case backend.LimitNamed:
		r.metrics.Add("backends_named_limit", 1)
		r.options.Logger.Info("back end limits its requests", "backend", target.ID, "service", target.Service, "role", string(target.Role),
			"requests_per_second", change.Rate)
	case backend.LimitNone:
		r.options.Logger.Info("back end limits its requests no longer", "backend", target.ID, "service", target.Service, "role", string(target.Role))
	case backend.LimitUnstated:
	}
	if stated.Statement == backend.LimitNamed {
		r.metrics.Add("responses_naming_limit", 1)
		r.limitedResponses.add(target.ID)
	}
}

// logLimitedResponses logs how many responses have named a limit since the last summary, by backend.
func (r *Router) logLimitedResponses() {
	if counts := r.limitedResponses.take(); len(counts) > 0 {
		r.options.Logger.Info("responses of backends that limit their requests", "answers", counts)
	}
}

// logRepeatedNotices logs which backends have repeated a notice since the last summary, and how often.
func (r *Router) logRepeatedNotices() {
	if counts := r.repeatedNotices.take(); len(counts) > 0 {
		r.options.Logger.Info("requests sent to backends in spite of their notices", "answers", counts)
	}
}
