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
	if change.IsEmpty() {
		r.metrics.Add("backends_heard_again", 1)
		r.repeatedNotices.add(target.ID)
	}
}

// logRepeatedNotices logs which backends have repeated a notice since the last summary, and how often.
func (r *Router) logRepeatedNotices() {
	if counts := r.repeatedNotices.take(); len(counts) > 0 {
		r.options.Logger.Info("requests sent to backends in spite of their notices", "answers", counts)
	}
}
