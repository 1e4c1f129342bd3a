package scheduler

import "time"

// Reservation is when a decode slot is reserved for a request.
type Reservation int

// Reservation policies.
const (
	// ReserveAhead counts the slots predicted to be free when the prefill ends.
	ReserveAhead Reservation = iota
	// ReserveAtGrant reserves a slot before the prefill starts.
	ReserveAtGrant
	// ReserveNone looks for a slot when the prefill has ended.
	ReserveNone
)

// Ordering is the order in which waiting requests are considered.
type Ordering int

// Orderings.
const (
	// OrderDeficit serves tenants with credit left, and refills credit when none
	// has any. It follows the deficit scheme of DLPM (Cao et al.,
	// "Locality-aware Fair Scheduling in LLM Serving", 2025), with deadline and
	// length in place of the longest prefix.
	OrderDeficit Ordering = iota
	// OrderVTC serves the tenant with the lowest service counter (virtual token counter; Sheng et
	// al., "Fairness in Serving Large Language Models", 2024).
	OrderVTC
	// OrderArrival is first come, first served.
	OrderArrival
	// OrderDeadline serves the earliest deadline, regardless of tenant.
	OrderDeadline
)

// Options select the scheduling variants that the emulator compares. The zero value is what the
// router runs.
type Options struct {
	Ordering    Ordering
	Reservation Reservation
	// MaxBacklog is how much prefill work an engine is granted in advance. Default 30ms. Further
	// work waits in the pool's queue, where it can be reordered or rejected without waste.
	MaxBacklog time.Duration
	// AheadShare is the share of the expected decode completions on which ReserveAhead relies.
	// Default 0.5.
	AheadShare float64
	// Stretch orders the requests of OrderDeficit by their deadline plus this many times their
	// prefill time, so that short requests pass long ones, but not indefinitely. Default 4.
	Stretch float64
	// NoForecast rejects a request only if it would be late even with an empty queue, and does not
	// consider the work queued before it.
	NoForecast bool
	// MaxScan is how many waiting tenants are considered if the first cannot be granted. Default 8.
	MaxScan int
	// Quantum is the credit of OrderDeficit that one round of a refill adds per unit of tenant
	// weight, in cost units: tokens weighted by inputTokenWeight and outputTokenWeight. A refill
	// raises no credit above one quantum per unit of weight. Default 4096.
	Quantum float64
	// NoAdmission disables rejections for the deadline.
	NoAdmission bool
	// NoAffinity ignores cached prefixes.
	NoAffinity bool
	// SlackSteps is how many decode steps the prediction of a first token adds as slack. Default 2.
	SlackSteps int
	// NoBatchLimit lets batches exceed the size that meets the token-interval target.
	NoBatchLimit bool
}

func (o *Options) setDefaults() {
	const defaultBacklog = 30 * time.Millisecond
	const defaultQuantum = 4096
	const defaultMaxScan = 8
	const defaultAheadShare = 0.5
	const defaultStretch = 4
	const defaultSlackSteps = 2
	if o.MaxBacklog == 0 {
		o.MaxBacklog = defaultBacklog
	}
	if o.AheadShare == 0 {
		o.AheadShare = defaultAheadShare
	}
	if o.Stretch == 0 {
		o.Stretch = defaultStretch
	}
	if o.MaxScan == 0 {
		o.MaxScan = defaultMaxScan
	}
	if o.Quantum == 0 {
		o.Quantum = defaultQuantum
	}
	if o.SlackSteps == 0 {
		o.SlackSteps = defaultSlackSteps
	}
}

// Weights of the cost of a request, after VTC and DLPM: an output token costs
// twice an input token.
const (
	inputTokenWeight  = 1.0
	outputTokenWeight = 2.0
)
