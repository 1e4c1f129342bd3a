package backendpath

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Path is how a connection to a backend is opened.
type Path int

// The paths.
const (
	// Direct is the node's own link.
	Direct Path = iota
	// Tunnel is a connection through another node.
	Tunnel
)

const (
	// checkInterval is the interval between checks of a link that is at fault. Tunnels cost a second link, so
	// they must end soon after the link has recovered.
	checkInterval = 500 * time.Millisecond
	// othersInterval is the shortest time between checks of backends without a known fault, while others have one.
	othersInterval = 2 * time.Second
	// failureWindow is how long a failure of the node's own link is evidence.
	failureWindow = 2 * time.Second
	// unusedLifetime is how long a fault of a link is remembered after the address was last used.
	unusedLifetime = 10 * time.Second
	// addressesPerCheck bounds the addresses that one check covers.
	addressesPerCheck = 4
	// otherAddresses is how many addresses without a known fault are checked in addition.
	otherAddresses = 2
	// cutOffAddresses is how many addresses must be at fault, without any connection over the node's own link in the
	// meantime, until the node counts as cut off. One may have restarted between the two attempts.
	cutOffAddresses = 2
)

// Options configure a Tracker.
type Options struct {
	Now func() time.Time
	// Others returns the addresses of up to count backends, chosen at random.
	Others func(count int) []string
	// MayTunnel reports whether there is another node that can open tunnels.
	MayTunnel func() bool
	// Wake is called when the next check may be due earlier than Due has told. It must not block.
	Wake func()
	// Changed is called when the node begins or ceases to count as cut off. It must not block.
	Changed func(change Change)
}

// Change is the begin or the end of a time in which the node counts as cut off from all backends.
type Change struct {
	CutOff bool
	// Addresses are the backends that other nodes reach and this one does not.
	Addresses []string
	// Lasted is how long the time was, at its end.
	Lasted time.Duration
}

// Tracker tracks which backends the node reaches over its own link. It is safe for concurrent use.
type Tracker struct {
	options Options
	// heardAt is when a backend last sent something, over any path, in nanoseconds of the clock since the Unix epoch.
	heardAt atomic.Int64

	mu sync.Mutex
	// links holds the addresses at which the node's own link has failed.
	links map[string]*link
	// cutOff is set while the node counts as cut off, and since when it has.
	cutOff      bool
	cutOffSince time.Time
	// failuresInARow are when the node's own link last failed, by address, since it last opened a connection.
	failuresInARow map[string]time.Time
	// faultsInARow are the addresses that were found at fault since the node last opened a connection over its own link.
	faultsInARow map[string]bool
	// othersCheckedAt is when backends without a known fault were last checked.
	othersCheckedAt time.Time
}

// link is the state of the node's own link to one address.
type link struct {
	failedAt time.Time
	// isFaulty is set once another node has reached the backend after the failure, at faultySince.
	isFaulty    bool
	faultySince time.Time
	// failedElsewhereAt is when another node has failed to reach the backend as well.
	failedElsewhereAt time.Time
	// usedAt is when the link was last needed, checkedAt when it was last checked.
	usedAt, checkedAt time.Time
}

// New returns a tracker of a node that reaches all backends.
func New(options Options) *Tracker {
	return &Tracker{options: options, links: map[string]*link{}, failuresInARow: map[string]time.Time{}, faultsInARow: map[string]bool{}}
}

// Choose returns the path of new connections to an address.
func (t *Tracker) Choose(address string) Path {
	now := t.options.Now()
	t.mu.Lock()
	known := t.links[address]
	if known != nil {
		known.usedAt = now
	}
	isFaulty, isDoubtful := t.isFaulty(address), t.linkIsDoubtful(now)
	t.mu.Unlock()
	if isFaulty || isDoubtful && t.options.MayTunnel() {
		return Tunnel
	}
	return Direct
}

// FaultIsUnconfirmed reports whether it is not known yet whether the node's own link or the backend causes the failures of an
// address.
func (t *Tracker) FaultIsUnconfirmed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.isFaulty(address)
}

// isFaulty reports whether the node's own link to an address is known to be at fault; the lock is held.
func (t *Tracker) isFaulty(address string) bool {
	known := t.links[address]
	return t.cutOff || known != nil && known.isFaulty
}

// CutOff reports whether the node counts as cut off from all backends.
func (t *Tracker) CutOff() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff
}

// CutOffFor returns for how long the node has counted as cut off from all backends; zero if it does not.
func (t *Tracker) CutOffFor() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.cutOff {
		return 0
	}
	return t.options.Now().Sub(t.cutOffSince)
}

// linkIsDoubtful reports whether the node's own link has probably failed: its last connections to several backends could not
// be opened, and no backend has sent anything since. The lock is held.
func (t *Tracker) linkIsDoubtful(now time.Time) bool {
	heardAt := time.Unix(0, t.heardAt.Load())
	failed := 0
	for _, failedAt := range t.failuresInARow {
		if failedAt.After(heardAt) && now.Sub(failedAt) <= failureWindow {
			failed++
		}
	}
	return failed >= cutOffAddresses
}

// FaultyLinks returns the number of addresses that other nodes reach and this one does not.
func (t *Tracker) FaultyLinks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.faulty())
}

// Heard records that a backend has sent something, over any path.
func (t *Tracker) Heard() { t.heardAt.Store(t.options.Now().UnixNano()) }

// DirectOpened records that the node's own link to an address works.
func (t *Tracker) DirectOpened(address string) {
	t.Heard()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.links, address)
	clear(t.failuresInARow)
	clear(t.faultsInARow)
	if !t.cutOff {
		return
	}
	t.cutOff = false
	lasted := t.options.Now().Sub(t.cutOffSince)
	t.options.Changed(Change{Addresses: t.faulty(), Lasted: lasted})
	// The other links have probably recovered as well, and are checked at once. If the node has lost only most of its
	// links, requests must not meet the same faults anew.
	for _, other := range t.links {
		other.checkedAt = time.Time{}
	}
	t.options.Wake()
}

// DirectFailed records that a connection over the node's own link could not be opened.
func (t *Tracker) DirectFailed(address string) {
	t.mu.Lock()
	now := t.options.Now()
	failed := t.link(address, now)
	failed.failedAt = now
	t.failuresInARow[address] = now
	t.mu.Unlock()
	t.options.Wake()
}

// link returns the state of an address, which it creates if needed; the lock is held.
func (t *Tracker) link(address string, now time.Time) *link {
	known := t.links[address]
	if known == nil {
		known = &link{usedAt: now}
		t.links[address] = known
	}
	return known
}

// TunnelOpened records that another node reaches an address.
func (t *Tracker) TunnelOpened(address string) {
	t.mu.Lock()
	now := t.options.Now()
	known := t.links[address]
	if known == nil || known.isFaulty || now.Sub(known.failedAt) > failureWindow {
		t.mu.Unlock()
		return
	}
	known.isFaulty, known.faultySince = true, now
	t.faultsInARow[address] = true
	if !t.cutOff && len(t.faultsInARow) >= cutOffAddresses {
		t.cutOff, t.cutOffSince = true, now
		t.options.Changed(Change{CutOff: true, Addresses: t.faulty()})
	}
	t.mu.Unlock()
	t.options.Wake()
}

// TunnelFailed records that another node has not reached an address either.
func (t *Tracker) TunnelFailed(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	t.link(address, now).failedElsewhereAt = now
}

// FailureCounts reports whether a failed call, begun at a time, is evidence against the backend at the address, which
// other nodes should learn of. It is not if the node's own link may have been the cause: another node reaches the
// backend, or no backend has sent anything since the call began.
func (t *Tracker) FailureCounts(address string, began time.Time) bool {
	if !t.options.MayTunnel() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.links[address]
	switch {
	case t.cutOff && t.cutOffSince.After(began):
		return false
	case known != nil && !known.failedElsewhereAt.Before(began):
		return true
	case known != nil && known.isFaulty && known.faultySince.After(began):
		return false
	}
	return t.heardAt.Load() > began.UnixNano()
}

// faulty returns the addresses with a faulty link, sorted; the lock is held.
func (t *Tracker) faulty() []string {
	var addresses []string
	for _, address := range slices.Sorted(maps.Keys(t.links)) {
		if t.links[address].isFaulty {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
