package router

import "github.com/reelrun/reelrun/backend"

// heardBackend takes note of what a back end has said of itself in an answer, and logs what is new: one
// line when it first says that it leaves, and one each time that it asks for backoff. What it says again
// shows that it was sent something in spite of that, and is counted for the next summary.
func (r *Router) heardBackend(target backend.Backend, said backend.Notice) {
	news := r.backends.RecordNotice(target, said)
	if news.Leaving {
		r.metrics.Add("backends_said_leaving", 1)
		r.options.Logger.Info("back end leaves", "backend", target.ID, "service", target.Service, "role", string(target.Role),
			"state_in_store", string(target.State), "source", "answer")
	}
	if news.Backoff > 0 {
		r.metrics.Add("backends_asked_for_backoff", 1)
		r.options.Logger.Info("back end asks for backoff", "backend", target.ID, "service", target.Service, "role", string(target.Role),
			"backoff_ms", news.Backoff.Milliseconds())
	}
	if news.IsEmpty() {
		r.metrics.Add("backends_heard_again", 1)
		r.heardAgain.add(target.ID)
	}
}

// logHeardAgain writes which back ends have repeated since the last summary that they leave or want
// backoff, and how often.
func (r *Router) logHeardAgain() {
	if counts := r.heardAgain.take(); len(counts) > 0 {
		r.options.Logger.Info("back ends sent to in spite of their word", "answers", counts)
	}
}
