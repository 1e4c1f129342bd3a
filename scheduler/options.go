package scheduler

import "time"

// Reservation is when a decode slot is set aside for a request.
type Reservation int

// The ways to reserve a decode slot.
const (
	// ReserveAhead counts the slots predicted to be free when the prefill ends.
	ReserveAhead Reservation = iota
	// ReserveAtGrant sets a slot aside before the prefill starts.
	ReserveAtGrant
	// ReserveNone looks for a slot when the prefill has ended.
	ReserveNone
)

// Ordering is the order in which waiting requests are looked at.
type Ordering int

// The orderings.
const (
	// OrderDeficit serves tenants with credit left by deadline, and refills
	// credit when none has any. It follows the deficit scheme of DLPM (Cao et
	// al., "Locality-aware Fair Scheduling in LLM Serving", 2025), with the
	// deadline in place of the longest prefix.
	OrderDeficit Ordering = iota
	// OrderVTC serves the tenant with the lowest service counter (Sheng et al.,
	// "Fairness in Serving Large Language Models", 2024).
	OrderVTC
	// OrderArrival is first come, first served.
	OrderArrival
	// OrderDeadline serves the earliest deadline, whoever its tenant.
	OrderDeadline
)

// Options choose between the ways the emulator has weighed. The zero value is
// what the router runs.
type Options struct {
	Ordering    Ordering
	Reservation Reservation
	// MaxBacklog is how much prefill work an engine is given in advance.
	// Default 30ms. The rest waits in the pool's queue, where it can be
	// reordered or refused without waste.
	MaxBacklog time.Duration
	// Scan is how many waiting tenants are looked at when the first cannot be
	// granted. Default 8.
	Scan int
	// Quantum is the credit in tokens that a refill adds. Default 4096.
	Quantum float64
	// NoAdmission never refuses for the deadline.
	NoAdmission bool
	// NoAffinity ignores cached prefixes.
	NoAffinity bool
	// SlackSteps is how many decode steps are kept in hand when a first token is
	// predicted. Default 2.
	SlackSteps int
	// NoBatchLimit lets batches grow beyond the token-interval target.
	NoBatchLimit bool
}

func (o *Options) setDefaults() {
	const defaultBacklog = 30 * time.Millisecond
	const defaultQuantum = 4096
	const defaultScan = 8
	const defaultSlackSteps = 2
	if o.MaxBacklog == 0 {
		o.MaxBacklog = defaultBacklog
	}
	if o.Scan == 0 {
		o.Scan = defaultScan
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
	extendTokenWeight = 1.0
	outputTokenWeight = 2.0
)
