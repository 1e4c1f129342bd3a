package gateway

import (
	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

// pick chooses a back end of a service among those that were not tried and are not in backoff, or nil.
func (h *Handler) pick(service string, role backend.Role, tried map[string]bool) *backend.Entry {
	ready := h.options.Backends.Ready(service, role)
	entries := make([]*backend.Entry, 0, len(ready))
	candidates := make([]admission.Candidate, 0, len(ready))
	for _, entry := range ready {
		if tried[entry.Backend().ID] || entry.BackoffLeft() > 0 || !h.options.Assignable(entry) {
			continue
		}
		entries = append(entries, entry)
		candidates = append(candidates, h.candidate(entry))
	}
	if len(entries) == 0 {
		return nil
	}
	return entries[h.options.Admission.Choose(service, candidates)]
}

// candidate describes a back end as this node sees it.
func (h *Handler) candidate(entry *backend.Entry) admission.Candidate {
	described := entry.Backend()
	return admission.Candidate{
		ID: described.ID, SameZone: described.Zone == h.options.Zone,
		Pending: entry.Pending(), Failing: entry.Failing(), Full: entry.IsFull(),
	}
}
