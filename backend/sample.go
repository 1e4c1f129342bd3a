package backend

import (
	"cmp"
	"slices"
)

// group identifies the backends of a service with one role and software version in one zone.
type group struct {
	service string
	role    Role
	zone    string
	version string
}

func groupOf(described Backend) group {
	return group{described.Service, described.Role, described.Zone, described.SoftwareVersion}
}

// SampleOptions describes a sample of backends.
type SampleOptions struct {
	Service string
	Role    Role
	// Zone is the zone of all sampled backends; empty for any.
	Zone string
	// Count is how many backends are drawn. Some may be drawn twice, and some may not take work.
	Count int
	// AllUpTo is the number of backends up to which all of them are returned, if it is more than Count.
	AllUpTo int
}

// Random returns a random number in [0, bound).
type Random func(bound int) int

// Sample returns randomly drawn backends that take new work, sorted by identifier. If there are few enough, it
// returns all and reports so. A choice among a few drawn ones is nearly as good as one among thousands
// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), and its cost does not depend
// on their number.
func (r *Registry) Sample(options SampleOptions, random Random) (drawn []*Entry, isAll bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	groups, total := r.groupsOf(options)
	if total <= max(options.Count, options.AllUpTo) {
		drawn = make([]*Entry, 0, total)
		for _, entries := range groups {
			drawn = append(drawn, entries...)
		}
		return ready(drawn), true
	}
	drawn = make([]*Entry, 0, options.Count)
	for range options.Count {
		drawn = append(drawn, entryAt(groups, random(total)))
	}
	return ready(drawn), false
}

// groupsOf returns the groups from which a sample is drawn, and their total number of backends; the lock is
// held.
func (r *Registry) groupsOf(options SampleOptions) (groups [][]*Entry, total int) {
	for key, entries := range r.groups {
		matches := key.service == options.Service && key.role == options.Role
		if matches && (options.Zone == "" || key.zone == options.Zone) {
			groups = append(groups, entries)
			total += len(entries)
		}
	}
	return groups, total
}

// entryAt returns an entry by its position in the concatenated groups.
func entryAt(groups [][]*Entry, position int) *Entry {
	for _, entries := range groups {
		if position < len(entries) {
			return entries[position]
		}
		position -= len(entries)
	}
	return nil
}

// HasReady reports whether a backend of a service takes new work in a role and has an allowed software version.
func (r *Registry) HasReady(service string, role Role, allowed VersionConstraint) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for key, entries := range r.groups {
		if key.service == service && key.role == role && allowed.Allows(key.version) && slices.ContainsFunc(entries, (*Entry).TakesWork) {
			return true
		}
	}
	return false
}

// HasOtherVersion reports whether a service has backends of another software version than the given one.
func (r *Registry) HasOtherVersion(service, version string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for key := range r.groups {
		if key.service == service && key.version != version {
			return true
		}
	}
	return false
}

// SoftwareVersions returns the software versions of the backends of each service, sorted.
func (r *Registry) SoftwareVersions() map[string][]string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := map[string][]string{}
	for key := range r.groups {
		versions[key.service] = append(versions[key.service], key.version)
	}
	for service, found := range versions {
		slices.Sort(found)
		versions[service] = slices.Compact(found)
	}
	return versions
}

// Union returns the backends of two samples, each once and sorted by identifier.
func Union(first, second []*Entry) []*Entry { return ready(slices.Concat(first, second)) }

// ready returns the entries that take new work, each once and sorted by identifier.
func ready(entries []*Entry) []*Entry {
	slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.ID(), b.ID()) })
	entries = slices.Compact(entries)
	return slices.DeleteFunc(entries, func(entry *Entry) bool { return !entry.TakesWork() })
}
