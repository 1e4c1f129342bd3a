package retrybudget

import (
	"sync"
	"time"
)

// Holder knows how much of an allocation this start of a node may spend. A share that has become larger was
// another node's, which may have spent it until it was given up, so that it is usable a window later. One that
// has become smaller is smaller at once. A share that no other node has had is usable at once, as far as the
// budget of a start is in its first window. It is safe for concurrent use.
type Holder struct {
	window time.Duration
	now    func() time.Time

	mu     sync.Mutex
	closed bool
	// held are the shares of the last window and the one before these, the oldest first.
	held []heldUnits
}

// heldUnits is a share from a moment on.
type heldUnits struct {
	since time.Time
	units int
}

// NewHolder returns a holder that has nothing. The clock is a monotonic one.
func NewHolder(window time.Duration, now func() time.Time) *Holder {
	return &Holder{window: window, now: now, held: []heldUnits{{since: now()}}}
}

// SetShare puts a share into force, unless the holder is closed.
func (h *Holder) SetShare(share Share) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.closed:
	case share.Initial && len(h.held) == 1:
		h.held[0].units = share.Units
	default:
		h.hold(share.Units)
	}
}

func (h *Holder) hold(units int) {
	if units != h.held[len(h.held)-1].units {
		h.held = append(h.held, heldUnits{since: h.now(), units: units})
	}
}

// Close gives the share up for good.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold(0)
	h.closed = true
}

// Usable returns how many repeats may be sent in a window: the least that was held within the last one.
func (h *Holder) Usable() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.held) > 1 && h.now().Sub(h.held[1].since) >= h.window {
		h.held = h.held[1:]
	}
	usable := h.held[0].units
	for _, later := range h.held[1:] {
		usable = min(usable, later.units)
	}
	return usable
}
