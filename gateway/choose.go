package gateway

import (
	"math/rand/v2"

	"github.com/reelrun/reelrun/admission"
	"github.com/reelrun/reelrun/backend"
)

const (
	// sampleSize is how many backends of a service are sampled for a request, and zoneSampleSize how many
	// of the node's own zone are sampled in addition. All backends of a service that has at most
	// sampleSize of them are examined.
	sampleSize     = 32
	zoneSampleSize = 16
)

// exclusions are the backends that may not be chosen.
type exclusions struct {
	attempted map[string]bool
	// version is the constraint on the software of the others.
	version backend.VersionConstraint
}

func (e exclusions) contains(entry *backend.Entry) bool {
	return e.attempted[entry.ID()] || !e.version.Allows(entry.Backend().SoftwareVersion)
}

// pick chooses a backend of a service, or returns nil. Excluded backends and those in backoff are not chosen.
// It examines a random sample, and all backends if none in the sample can take the request.
func (h *Handler) pick(service string, role backend.Role, excluded exclusions) *backend.Entry {
	options := backend.SampleOptions{Service: service, Role: role, Count: sampleSize}
	sampled, complete := h.options.Backends.Sample(options, rand.IntN)
	if complete {
		return h.choose(service, sampled, nil, excluded)
	}
	options.Zone, options.Count = h.options.Zone, zoneSampleSize
	zoneLocal, _ := h.options.Backends.Sample(options, rand.IntN)
	if chosen := h.choose(service, sampled, zoneLocal, excluded); chosen != nil {
		return chosen
	}
	return h.choose(service, h.options.Backends.Ready(service, role), nil, excluded)
}

// choose chooses among sampled backends, and others that were sampled for being in the node's zone.
func (h *Handler) choose(service string, sampled, zoneLocal []*backend.Entry, excluded exclusions) *backend.Entry {
	entries := make([]*backend.Entry, 0, len(sampled)+len(zoneLocal))
	candidates := make([]admission.Candidate, 0, len(sampled)+len(zoneLocal))
	add := func(entry *backend.Entry, zoneOnly bool) {
		if excluded.contains(entry) || entry.BackoffRemaining() > 0 || !h.options.Assignable(entry) {
			return
		}
		candidate := h.candidate(entry)
		candidate.ZoneOnly = zoneOnly
		entries = append(entries, entry)
		candidates = append(candidates, candidate)
	}
	for _, entry := range sampled {
		add(entry, false)
	}
	for _, entry := range zoneLocal {
		add(entry, true)
	}
	if len(entries) == 0 {
		return nil
	}
	return entries[h.options.Admission.Choose(service, candidates)]
}

// candidate describes a backend from this node's view.
func (h *Handler) candidate(entry *backend.Entry) admission.Candidate {
	target := entry.Backend()
	return admission.Candidate{
		ID: target.ID, SameZone: target.Zone == h.options.Zone,
		Pending: entry.Pending(), FailureRate: entry.FailureRate(), Full: entry.IsFull(),
	}
}
