package gateway

import "time"

// Policy is how engines are chosen and when a request is refused. Each field
// was measured on its own; docs/BENCH.md has the figures.
type Policy struct {
	// OutputMargin is how much more output than the caller expects is reserved.
	// Default 1.3.
	OutputMargin float64
	// ReservationWait is how long a request waits for memory at a decode engine
	// before it is refused. Default 150ms: a refusal counts as prompt only within a
	// quarter of the objective.
	ReservationWait time.Duration
	// ReservationLifetime is how long memory stays reserved until the answer
	// begins. Default 1.5s.
	ReservationLifetime time.Duration
}

const (
	defaultOutputMargin        = 1.3
	defaultReservationWait     = 150 * time.Millisecond
	defaultReservationLifetime = 1500 * time.Millisecond
)

func (p *Policy) setDefaults() {
	if p.OutputMargin == 0 {
		p.OutputMargin = defaultOutputMargin
	}
	if p.ReservationWait == 0 {
		p.ReservationWait = defaultReservationWait
	}
	if p.ReservationLifetime == 0 {
		p.ReservationLifetime = defaultReservationLifetime
	}
}

// tokens returns how much memory a request is expected to need, in tokens.
func (p *Policy) tokens(generation Generation) int {
	expected := generation.ExpectedOutputTokens
	if expected == 0 || expected > generation.MaxOutputTokens {
		expected = generation.MaxOutputTokens
	}
	output := int(float64(expected) * p.OutputMargin)
	return generation.PromptTokens + min(output, generation.MaxOutputTokens)
}
