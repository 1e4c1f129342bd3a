package enginesim

import (
	"github.com/reelrun/reelrun/timeline"
)

// PathTimeline is the HTTP path of the engine's events for the common timeline.
const PathTimeline = "/timeline"

// Timeline returns the newest entries of the ledger as events. Their timestamps
// contain only physical time, because an engine receives no logical timestamps.
func (e *Engine) Timeline() []timeline.Event {
	entries := e.ledger.report().Entries
	entries = entries[max(len(entries)-timeline.DefaultCapacity, 0):]
	events := make([]timeline.Event, len(entries))
	for i, entry := range entries {
		events[i] = timeline.Event{
			Stamp: timeline.StampOf(entry.Time), Process: e.options.Name, Kind: timeline.Kind(entry.Kind),
			Request: entry.Stream.RequestID, Engine: e.options.Name,
		}
	}
	return events
}
