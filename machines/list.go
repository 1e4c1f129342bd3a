package machines

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
)

// State is the state of a machine.
type State string

// States of machines.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of the platform's list. Engines and backends of services are matched by name.
type Machine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Address string `json:"address,omitempty"`
	State   State  `json:"state"`
}

// View is the list as of a revision of the platform.
type View struct {
	Revision int64     `json:"revision"`
	Machines []Machine `json:"machines"`
}

// List holds the newest view. It is safe for concurrent use.
type List struct {
	now func() time.Time

	mu       sync.Mutex
	revision int64
	machines map[string]Machine
	// confirmedAt is the latest time at which the view was known to be the newest.
	confirmedAt time.Time
}

// NewList returns an empty list.
func NewList(now func() time.Time) *List {
	return &List{now: now, machines: map[string]Machine{}}
}

// Replace installs a view unless it is older than the current one. Age is the time since the view was known to
// be the newest. It reports whether the view was installed.
func (l *List) Replace(view View, age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(view.Revision, age)
	if view.Revision <= l.revision {
		return false
	}
	l.revision = view.Revision
	l.machines = make(map[string]Machine, len(view.Machines))
	for _, machine := range view.Machines {
		l.machines[machine.Name] = machine
	}
	return true
}

// Refresh records that, the given age ago, a view of the given revision was the newest.
func (l *List) Refresh(revision int64, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(revision, age)
}

func (l *List) refresh(revision int64, age time.Duration) {
	at := l.now().Add(-age)
	if revision >= l.revision && at.After(l.confirmedAt) {
		l.confirmedAt = at
	}
}

// apply applies a change of one machine.
func (l *List) apply(object objectapi.Object, deleted bool) error {
	var machine Machine
	if !deleted {
		if err := json.Unmarshal(object.Spec, &machine); err != nil {
			return errors.Wrap(err, "decode machine")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, object.Version)
	l.confirmedAt = l.now()
	if deleted {
		delete(l.machines, object.Name)
		return nil
	}
	l.machines[object.Name] = machine
	return nil
}

// IsLeaving reports whether a machine is leaving.
func (l *List) IsLeaving(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machines[name].State == StateLeaving
}

// Revision returns the revision of the view.
func (l *List) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Age returns how long ago the view was last known to be the newest.
func (l *List) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.confirmedAt)
}

// View returns the current view.
func (l *List) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := View{Revision: l.revision, Machines: make([]Machine, 0, len(l.machines))}
	for _, machine := range l.machines {
		view.Machines = append(view.Machines, machine)
	}
	return view
}
