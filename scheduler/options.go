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
	// OrderDeficit serves tenants with credit left, and refills credit when none
	// has any. It follows the deficit scheme of DLPM (Cao et al.,
	// "Locality-aware Fair Scheduling in LLM Serving", 2025), with arrival and
	// length in place of the longest prefix.
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
	// AheadShare is the share of the expected ends of decodes that
	// ReserveAhead counts on. Default 0.5.
	AheadShare float64
	// Stretch orders the requests of OrderDeficit by their arrival plus this many
	// times their prefill time, so that short ones pass long ones, but not for
	// ever. Default 4.
	Stretch float64
	// NoForecast refuses a request only when an idle queue would be too late as
	// well, and not for the work that waits before it.
	NoForecast bool
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
