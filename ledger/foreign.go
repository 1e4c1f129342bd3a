package ledger

import "time"

// foreignUse is memory of an engine that the ledger cannot explain.
type foreignUse struct {
	tokens float64
	at     time.Duration
}

const (
	// explainedShare and explainedTokens are how far the use that an engine reports
	// may lie above the ledger's: reports are late, and estimates are off.
	explainedShare  = 1.25
	explainedTokens = 4000
	// foreignLifetime is how long a report counts.
	foreignLifetime = 2500 * time.Millisecond
)

// ReportMemoryUse takes note of the memory that an engine says it uses. Runs of nodes that
// were lost go on there until the engine finds out.
func (l *Ledger) ReportMemoryUse(now time.Duration, id string, used int) {
	known := 0.0
	for _, run := range l.byEngine[id] {
		known += l.project(now, run).size
	}
	l.foreign[id] = foreignUse{tokens: max(0, float64(used)-explainedShare*known-explainedTokens), at: now}
}

// InUse returns the engines that have runs, or use memory that the ledger cannot explain.
func (l *Ledger) InUse(now time.Duration) map[string]bool {
	inUse := make(map[string]bool, len(l.byEngine))
	for id := range l.byEngine {
		inUse[id] = true
	}
	for id := range l.foreign {
		if l.foreignTokens(now, id) > 0 {
			inUse[id] = true
		}
	}
	return inUse
}

// foreignTokens returns the memory of an engine that the ledger cannot explain.
func (l *Ledger) foreignTokens(now time.Duration, id string) float64 {
	use := l.foreign[id]
	if now-use.at > foreignLifetime {
		return 0
	}
	return use.tokens
}
