package retrybudget

import (
	"sync"
	"time"
)

// Holder tracks how much of an allocation this start of a node may spend. The units by which a share increases
// belonged to another node, which may have spent them until it gave them up, so they become usable one window
// later. A reduction applies immediately. A share that no other node has had is usable immediately, but the
// budget has no burst in a start's first window. It is safe for concurrent use.
type Holder struct {
	window time.Duration
	now    func() time.Time

	mu     sync.Mutex
	closed bool
	// history holds the shares set within the last window and the one set before them, the oldest first.
	history []shareChange
}

// shareChange is a share and the time from which it applies.
type shareChange struct {
	since time.Time
	units int
}

// NewHolder returns a holder without a share. The clock is monotonic.
func NewHolder(window time.Duration, now func() time.Time) *Holder {
	return &Holder{window: window, now: now, history: []shareChange{{since: now()}}}
}

// SetShare applies a share, unless the holder is closed.
func (h *Holder) SetShare(share Share) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.closed:
	case share.Initial && len(h.history) == 1:
		h.history[0].units = share.Units
	default:
		h.record(share.Units)
	}
}

func (h *Holder) record(units int) {
	if units != h.history[len(h.history)-1].units {
		h.history = append(h.history, shareChange{since: h.now(), units: units})
	}
}

// Close gives the share up permanently.
func (h *Holder) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record(0)
	h.closed = true
}

// Usable returns how many retries may be sent per window: the smallest share within the last one.
func (h *Holder) Usable() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.history) > 1 && h.now().Sub(h.history[1].since) >= h.window {
		h.history = h.history[1:]
	}
	usable := h.history[0].units
	for _, later := range h.history[1:] {
		usable = min(usable, later.units)
	}
	return usable
}
