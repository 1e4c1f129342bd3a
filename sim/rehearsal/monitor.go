package rehearsal

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/periodic"
	"github.com/reelrun/reelrun/sim/enginesim"
)

const (
	// monitorStep is the time between two looks at the nodes.
	monitorStep = 250 * time.Millisecond
	// InForceWithin is when an accepted configuration must be in force everywhere.
	InForceWithin = 6 * time.Second
	// LeavingWithin is when a leaving back end must get no new work, counted from
	// the moment at which the platform's list shows it.
	LeavingWithin = 5 * time.Second
)

// accepted is when a version was first seen in the platform.
type accepted struct {
	version uint64
	at      time.Time
}

// Monitor watches a fleet for broken promises that only show over time. It looks
// at the platform's store and at the nodes from outside.
type Monitor struct {
	fleet *Fleet

	mu       sync.Mutex
	versions []accepted
	seen     map[*Node]uint64
	leaving  map[string]time.Time
	// blind are the times at which no node could read the platform's list.
	blind      []time.Time
	violations []string
}

// NewMonitor returns a monitor of a fleet.
func NewMonitor(fleet *Fleet) *Monitor {
	return &Monitor{fleet: fleet, seen: map[*Node]uint64{}, leaving: map[string]time.Time{}}
}

// Run watches until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	periodic.Run(ctx, monitorStep, func(context.Context) { m.look() })
}

// Violations returns what was seen to break.
func (m *Monitor) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.violations...)
}

func (m *Monitor) violatef(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *Monitor) look() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteAccepted(now)
	required := m.required(now)
	if !m.fleet.readsPlatform() {
		m.blind = append(m.blind, now)
	}
	for _, running := range m.fleet.Alive() {
		version := running.Core.Configuration.Current().Version()
		if version < m.seen[running] {
			m.violatef("%s went from version %d back to %d", running.Name, m.seen[running], version)
		}
		m.seen[running] = version
		if running.Core.AcceptsWork() && version < required {
			m.violatef("%s takes work with version %d, %d was accepted over %s ago", running.Name, version, required, InForceWithin)
		}
	}
}

// noteAccepted records a version that the platform has accepted.
func (m *Monitor) noteAccepted(now time.Time) {
	for _, object := range m.fleet.Platform.Store.Snapshot(objectapi.KindConfiguration) {
		head, err := configuration.DecodeHead(object.Spec)
		if err != nil {
			m.violatef("head is unreadable: %s", err)
			return
		}
		if len(m.versions) == 0 || m.versions[len(m.versions)-1].version != head.Version {
			m.versions = append(m.versions, accepted{head.Version, now})
		}
	}
}

// required is the newest version that must be in force everywhere.
func (m *Monitor) required(now time.Time) uint64 {
	var version uint64
	for _, seen := range m.versions {
		if now.Sub(seen.at) > InForceWithin {
			version = max(version, seen.version)
		}
	}
	return version
}

// RecordLeaving records when the platform's list began to show a back end as
// leaving.
func (m *Monitor) RecordLeaving(machine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving[machine] = time.Now()
}

// CheckLeaving compares the ledgers with the times at which back ends began to
// leave.
func (m *Monitor) CheckLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for machine, since := range m.leaving {
		if started, ok := m.fleet.Engines[machine]; ok {
			m.judgeEngine(started, machine, since)
		}
		if started, ok := m.fleet.Services[machine]; ok {
			for _, call := range started.Report().Calls {
				if m.isLate(call.Time, since) {
					m.violatef("%s got a call %s after it began to leave", machine, call.Time.Sub(since))
				}
			}
		}
	}
}

// isLate reports whether work began too long after the list showed that its back
// end leaves. While no node can read the list, none can know.
func (m *Monitor) isLate(began, since time.Time) bool {
	for _, at := range m.blind {
		if at.After(since) && !at.After(began) {
			since = at
		}
	}
	return began.Sub(since) > LeavingWithin
}

func (m *Monitor) judgeEngine(started *Engine, machine string, since time.Time) {
	for _, entry := range started.Report().Entries {
		newWork := entry.Kind == enginesim.EntryDecodeStart || entry.Kind == enginesim.EntryPrefillStart
		if newWork && m.isLate(entry.Time, since) {
			m.violatef("%s began %s %s after it began to leave", machine, entry.Stream, entry.Time.Sub(since))
		}
	}
}
