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
	// monitorInterval is the time between two checks of the nodes.
	monitorInterval = 250 * time.Millisecond
	// ActiveWithin is the time in which an accepted configuration must be active at
	// all nodes.
	ActiveWithin = 6 * time.Second
	// LeavingWithin is how long a backend may still get new work after the platform's
	// list has reported it as leaving.
	LeavingWithin = 5 * time.Second
)

// acceptedVersion records when a version was first observed in the platform.
type acceptedVersion struct {
	version uint64
	at      time.Time
}

// Monitor checks a fleet for violations that depend on time. It observes the
// platform's store and the nodes from outside.
type Monitor struct {
	fleet *Fleet

	mu       sync.Mutex
	versions []acceptedVersion
	// nodeVersions are the versions that the nodes had at the last check.
	nodeVersions map[*Node]uint64
	// leaving is when the platform's list reported backends as leaving, by name.
	leaving map[string]time.Time
	// unreadable are the times at which no node could read the platform's list.
	unreadable []time.Time
	violations []string
}

// NewMonitor returns a monitor of a fleet.
func NewMonitor(fleet *Fleet) *Monitor {
	return &Monitor{fleet: fleet, nodeVersions: map[*Node]uint64{}, leaving: map[string]time.Time{}}
}

// Run checks periodically until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	periodic.Run(ctx, monitorInterval, func(context.Context) { m.check() })
}

// Violations returns the violations found so far.
func (m *Monitor) Violations() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.violations...)
}

func (m *Monitor) violatef(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *Monitor) check() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordAccepted(now)
	required := m.required(now)
	if !m.fleet.reachesPlatform() {
		m.unreadable = append(m.unreadable, now)
	}
	for _, running := range m.fleet.Alive() {
		version := running.Core.Configuration.Current().Version()
		if version < m.nodeVersions[running] {
			m.violatef("%s went from version %d back to %d", running.Name, m.nodeVersions[running], version)
		}
		m.nodeVersions[running] = version
		if running.Core.AcceptsWork() && version < required {
			m.violatef("%s accepts work with version %d, %d was accepted over %s ago", running.Name, version, required, ActiveWithin)
		}
	}
}

// recordAccepted records a new version in the platform.
func (m *Monitor) recordAccepted(now time.Time) {
	for _, object := range m.fleet.Platform.Store.Snapshot(objectapi.KindConfiguration) {
		head, err := configuration.DecodeHead(object.Spec)
		if err != nil {
			m.violatef("head is unreadable: %s", err)
			return
		}
		if len(m.versions) == 0 || m.versions[len(m.versions)-1].version != head.Version {
			m.versions = append(m.versions, acceptedVersion{head.Version, now})
		}
	}
}

// required returns the newest version that must be active at all nodes.
func (m *Monitor) required(now time.Time) uint64 {
	var version uint64
	for _, accepted := range m.versions {
		if now.Sub(accepted.at) > ActiveWithin {
			version = max(version, accepted.version)
		}
	}
	return version
}

// RecordLeaving records that the platform's list now reports a backend as
// leaving.
func (m *Monitor) RecordLeaving(machine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving[machine] = time.Now()
}

// CheckLeaving checks in the ledgers that leaving backends got no new work.
func (m *Monitor) CheckLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for machine, since := range m.leaving {
		if started, ok := m.fleet.Engines[machine]; ok {
			m.checkEngine(started, machine, since)
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

// isLate reports whether work began later than LeavingWithin after its backend was
// listed as leaving. The time starts anew whenever no node can read the list, since
// the nodes cannot learn of the change then.
func (m *Monitor) isLate(began, since time.Time) bool {
	for _, at := range m.unreadable {
		if at.After(since) && !at.After(began) {
			since = at
		}
	}
	return began.Sub(since) > LeavingWithin
}

// checkEngine checks that a leaving engine began no work too late.
func (m *Monitor) checkEngine(started *Engine, machine string, since time.Time) {
	for _, entry := range started.Report().Entries {
		newWork := entry.Kind == enginesim.EntryDecodeStart || entry.Kind == enginesim.EntryPrefillStart
		if newWork && m.isLate(entry.Time, since) {
			m.violatef("%s began %s %s after it began to leave", machine, entry.Stream, entry.Time.Sub(since))
		}
	}
}
