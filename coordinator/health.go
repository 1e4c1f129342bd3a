package coordinator

import (
	"math"
	"time"
)

const (
	// outcomeWeight is the weight of one outcome in the failure share: an engine without earlier
	// failures is excluded after its second failure in a row.
	outcomeWeight = 0.35
	// maxFailureShare is the failure share above which an engine is assigned no run.
	maxFailureShare = 0.5
	// failureHalfLife is the time in which the failure share halves without new outcomes, so that
	// an excluded engine is tried again: 0.4 s after two failures, 2 s after many.
	failureHalfLife = 2 * time.Second
)

// engineHealth tracks recent engine failures reported by all nodes. The zero value has no failures.
type engineHealth struct {
	engines map[string]failureRecord
}

// failureRecord is the share of an engine's outcomes that were failures, weighted towards newer
// ones.
type failureRecord struct {
	// share is the failure share as of at.
	share float64
	at    time.Duration
}

// share returns the failure share of an engine as of now.
func (h *engineHealth) share(now time.Duration, engine string) float64 {
	record, found := h.engines[engine]
	if !found {
		return 0
	}
	return record.share * math.Exp2(-(now-record.at).Seconds()/failureHalfLife.Seconds())
}

// healthy reports whether an engine may be assigned runs.
func (h *engineHealth) healthy(now time.Duration, engine string) bool {
	return h.share(now, engine) <= maxFailureShare
}

// failed records that an engine gave no response or broke off its output.
func (h *engineHealth) failed(now time.Duration, engine string) {
	if h.engines == nil {
		h.engines = map[string]failureRecord{}
	}
	share := h.share(now, engine)
	h.engines[engine] = failureRecord{share: share + outcomeWeight*(1-share), at: now}
}

// succeeded records a success of an engine.
func (h *engineHealth) succeeded(engine string) {
	record, found := h.engines[engine]
	if !found {
		return
	}
	record.share -= outcomeWeight * record.share
	if record.share < outcomeWeight/10 {
		delete(h.engines, engine)
		return
	}
	h.engines[engine] = record
}
