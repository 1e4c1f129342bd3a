package backend

import (
	"cmp"
	"slices"
)

// group names the back ends of a service that have one role and are in one zone.
type group struct {
	service string
	role    Role
	zone    string
}

func groupOf(described Backend) group {
	return group{described.Service, described.Role, described.Zone}
}

// SampleOptions describes the back ends of a sample.
type SampleOptions struct {
	Service string
	Role    Role
	// Zone is where all of them are to be; empty for anywhere.
	Zone string
	// Count is how many are drawn. Some may be drawn twice, and some not take work.
	Count int
	// AllUpTo is up to how many all are returned, where that is more than Count.
	AllUpTo int
}

// Random returns a number from 0 up to a bound.
type Random func(bound int) int

// Sample returns some back ends that take new work, drawn by chance, in the order of their identifiers.
// Where there are few enough, it returns all and says so. A choice among a few that are drawn is
// nearly as good as one among thousands (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001), and costs the same however many there are.
func (r *Registry) Sample(wanted SampleOptions, random Random) (drawn []*Entry, isAll bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	groups, total := r.groupsOf(wanted)
	if total <= max(wanted.Count, wanted.AllUpTo) {
		drawn = make([]*Entry, 0, total)
		for _, entries := range groups {
			drawn = append(drawn, entries...)
		}
		return ready(drawn), true
	}
	drawn = make([]*Entry, 0, wanted.Count)
	for range wanted.Count {
		drawn = append(drawn, at(groups, random(total)))
	}
	return ready(drawn), false
}

// groupsOf returns the groups of which a sample is drawn, and how many back ends they have; the lock is held.
func (r *Registry) groupsOf(wanted SampleOptions) (groups [][]*Entry, total int) {
	for key, entries := range r.groups {
		isWanted := key.service == wanted.Service && key.role == wanted.Role
		if isWanted && (wanted.Zone == "" || key.zone == wanted.Zone) {
			groups = append(groups, entries)
			total += len(entries)
		}
	}
	return groups, total
}

// at returns an entry by its position in all groups together.
func at(groups [][]*Entry, position int) *Entry {
	for _, entries := range groups {
		if position < len(entries) {
			return entries[position]
		}
		position -= len(entries)
	}
	return nil
}

// Union returns the back ends of two samples, each once and in the order of their identifiers.
func Union(first, second []*Entry) []*Entry { return ready(slices.Concat(first, second)) }

// ready returns those that take new work, each once and in the order of their identifiers.
func ready(entries []*Entry) []*Entry {
	slices.SortFunc(entries, func(a, b *Entry) int { return cmp.Compare(a.ID(), b.ID()) })
	entries = slices.Compact(entries)
	return slices.DeleteFunc(entries, func(entry *Entry) bool { return !entry.TakesWork() })
}
