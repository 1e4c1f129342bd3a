package ledger

import "time"

// externalUse is memory of an engine that no run in the ledger explains.
type externalUse struct {
	tokens float64
	at     time.Duration
}

const (
	// reportToleranceFactor and reportToleranceTokens bound how far the memory use that an engine
	// reports may exceed the ledger's prediction; only the excess beyond the bound counts as
	// external, because reports arrive late and predictions are inexact.
	reportToleranceFactor = 1.25
	reportToleranceTokens = 4000
	// externalUseLifetime is how long a report is valid.
	externalUseLifetime = 2500 * time.Millisecond
)

// ReportMemoryUse records the memory in use that an engine reports, in tokens. It may include runs
// that the ledger does not track: those of a failed node continue on an engine until the engine
// detects the failure.
func (l *Ledger) ReportMemoryUse(now time.Duration, id string, used int) {
	predicted := 0.0
	for _, run := range l.byEngine[id] {
		predicted += l.project(now, run).size
	}
	l.external[id] = externalUse{tokens: max(0, float64(used)-reportToleranceFactor*predicted-reportToleranceTokens), at: now}
}

// InUse returns the engines that have runs, or use memory that the ledger cannot explain.
func (l *Ledger) InUse(now time.Duration) map[string]bool {
	inUse := make(map[string]bool, len(l.byEngine))
	for id := range l.byEngine {
		inUse[id] = true
	}
	for id := range l.external {
		if l.externalTokens(now, id) > 0 {
			inUse[id] = true
		}
	}
	return inUse
}

// externalTokens returns the external memory use of an engine.
func (l *Ledger) externalTokens(now time.Duration, id string) float64 {
	use := l.external[id]
	if now-use.at > externalUseLifetime {
		return 0
	}
	return use.tokens
}
