package model

import (
	"time"

	"github.com/reelrun/reelrun/scheduler"
)

// Parameters describe the simulated engines and links. See docs/MODEL.md.
type Parameters struct {
	// PrefillTokensPerSecond is the throughput of one prefill engine, and
	// PrefillOverhead the fixed time per prefill.
	PrefillTokensPerSecond float64
	PrefillOverhead        time.Duration
	// Step models the duration of one decode step.
	Step scheduler.StepModel
	// Slots and KVTokens are the capacity of a decode engine: requests decoded at once,
	// and KV memory in tokens.
	Slots    int
	KVTokens int
	// LinkTokensPerSecond is the KV transfer rate of a prefill engine's link.
	LinkTokensPerSecond float64
	// StallShare is the share of transfers that stall, each for StallTime.
	StallShare float64
	StallTime  time.Duration
	// Hold is how long a prefill result is kept.
	Hold time.Duration
	// CacheBlocks is the size of a prefill engine's prefix cache. Its eviction events
	// reach the router after EventDelay; the share EventLossShare of them is lost.
	CacheBlocks    int
	EventDelay     time.Duration
	EventLossShare float64
	// LoadLag is the age of the load reports that the baseline policies use.
	LoadLag time.Duration
	// Patience is how long a caller waits for its first token, as a multiple of the
	// first-token target.
	Patience float64
	// DisconnectShare is the share of callers that disconnect in the middle of the output.
	DisconnectShare float64
	// DecodeEngines is the number of decode engines. The number of prefill engines is
	// derived from the workload.
	DecodeEngines int
	// PrefillUtilization is the utilization of the prefill engines at load 1.
	PrefillUtilization float64
}

// DefaultParameters returns the parameters documented in docs/MODEL.md.
func DefaultParameters() Parameters {
	return Parameters{
		PrefillTokensPerSecond: 20000, PrefillOverhead: 5 * time.Millisecond,
		Step:  scheduler.StepModel{Base: 10 * time.Millisecond, PerRequest: 250 * time.Microsecond, PerContextToken: 40 * time.Nanosecond},
		Slots: 32, KVTokens: 200_000,
		LinkTokensPerSecond: 150_000, StallShare: 0.002, StallTime: 2 * time.Second, Hold: 5 * time.Second,
		CacheBlocks: 2048, EventDelay: time.Second, EventLossShare: 0.05, LoadLag: 500 * time.Millisecond,
		Patience: 4, DisconnectShare: 0.02, DecodeEngines: 8, PrefillUtilization: 0.8,
	}
}
