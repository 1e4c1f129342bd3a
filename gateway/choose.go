package gateway

import (
	"math/rand/v2"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

const (
	// choiceSize is among how many back ends of a service a request chooses, and nearChoiceSize how many
	// of its node's zone are drawn besides. A service of no more has all of them looked at.
	choiceSize     = 32
	nearChoiceSize = 16
)

// pick chooses a back end of a service among those that were not tried and are not in backoff, or nil. It
// looks at a few that are drawn by chance, and at all where none of these can take the request.
func (h *Handler) pick(service string, role backend.Role, tried map[string]bool) *backend.Entry {
	wanted := backend.SampleOptions{Service: service, Role: role, Count: choiceSize}
	drawn, isAll := h.options.Backends.Sample(wanted, rand.IntN)
	if isAll {
		return h.choose(service, drawn, nil, tried)
	}
	wanted.Zone, wanted.Count = h.options.Zone, nearChoiceSize
	near, _ := h.options.Backends.Sample(wanted, rand.IntN)
	if chosen := h.choose(service, drawn, near, tried); chosen != nil {
		return chosen
	}
	return h.choose(service, h.options.Backends.Ready(service, role), nil, tried)
}

// choose chooses among some back ends, and others that were drawn because they are near.
func (h *Handler) choose(service string, drawn, near []*backend.Entry, tried map[string]bool) *backend.Entry {
	entries := make([]*backend.Entry, 0, len(drawn)+len(near))
	candidates := make([]admission.Candidate, 0, len(drawn)+len(near))
	add := func(entry *backend.Entry, onlyNear bool) {
		if tried[entry.ID()] || entry.BackoffRemaining() > 0 || !h.options.Assignable(entry) {
			return
		}
		candidate := h.candidate(entry)
		candidate.ZoneOnly = onlyNear
		entries = append(entries, entry)
		candidates = append(candidates, candidate)
	}
	for _, entry := range drawn {
		add(entry, false)
	}
	for _, entry := range near {
		add(entry, true)
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
		Pending: entry.Pending(), FailureRate: entry.FailureRate(), Full: entry.IsFull(),
	}
}
