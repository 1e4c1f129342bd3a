package sitemodel

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/estimate"
	"github.com/reelrun/reelrun/ledger"
)

// policy assigns a decode engine to a request before the prefill.
type policy interface {
	// place returns an engine, or nil if the request must wait.
	place(s *simulation, incoming *request) *decodeEngine
	// reservation returns the memory, in tokens, that an engine reserves for a run, from its
	// placement to its end.
	reservation(incoming *request) float64
	// ended reports the end of a run; completed is false if the run did not start.
	ended(s *simulation, e *decodeEngine, finished *request, duration time.Duration, completed bool)
	// retryAfter returns the delay after which the caller of a rejected request retries.
	retryAfter(s *simulation, rejected *request) time.Duration
}

// The names of the policies.
const (
	// PolicyCoordinator assigns engines by one ledger that predicts memory.
	PolicyCoordinator = "coordinator"
	// PolicyReservation requests memory from the engines, in random order.
	PolicyReservation = "reservation"
	// PolicyLeastLoaded takes the engine with the fewest runs, without a reservation.
	PolicyLeastLoaded = "least-loaded"
	// PolicyRandom takes a random engine.
	PolicyRandom = "random"
)

// Policies returns the names of the policies, the router's own first.
func Policies() []string {
	return []string{PolicyCoordinator, PolicyReservation, PolicyLeastLoaded, PolicyRandom}
}

func newPolicy(name string, random *rand.Rand) (policy, error) {
	switch name {
	case PolicyCoordinator:
		return &coordinatorPolicy{ledger: ledger.New(ledger.Options{}), names: map[*request]string{}}, nil
	case PolicyReservation:
		return reservationPolicy{random}, nil
	case PolicyLeastLoaded:
		return leastLoadedPolicy{random}, nil
	case PolicyRandom:
		return randomPolicy{random}, nil
	default:
		return nil, errors.Newf("unknown policy %q", name)
	}
}

// coordinatorPolicy is the router's own policy, with the ledger that its coordinators use.
type coordinatorPolicy struct {
	ledger  *ledger.Ledger
	output  estimate.OutputLength
	names   map[*request]string
	started bool
	next    int
}

func (p *coordinatorPolicy) start(s *simulation) {
	if p.started {
		return
	}
	p.started = true
	engines := make([]ledger.Engine, len(s.decodes))
	for i, engine := range s.decodes {
		engines[i] = ledger.Engine{ID: strconv.Itoa(engine.id), Memory: s.site.Memory, Slots: s.site.Slots}
	}
	p.ledger.SetEngines(engines)
}

func (p *coordinatorPolicy) runOf(s *simulation, incoming *request) ledger.Run {
	maxOutput := int(s.site.Events.Max) * s.site.EventTokens
	expected := min(incoming.hint, maxOutput)
	return ledger.Run{
		ID: p.names[incoming], Prompt: incoming.prompt, CallerEstimate: expected, MaxOutput: maxOutput,
		Output: p.output.Mean(expected, maxOutput), Holder: "node",
	}
}

func (p *coordinatorPolicy) place(s *simulation, incoming *request) *decodeEngine {
	p.start(s)
	p.next++
	p.names[incoming] = strconv.Itoa(p.next)
	otherVersions := map[string]bool{}
	for _, engine := range s.decodes {
		if !s.mayServe(engine, incoming) {
			otherVersions[strconv.Itoa(engine.id)] = true
		}
	}
	assigned, found := p.ledger.Assign(s.Now(), p.runOf(s, incoming), otherVersions)
	if !found {
		return nil
	}
	id, err := strconv.Atoi(assigned)
	if err != nil {
		panic(err) // start set the ID.
	}
	return s.decodes[id]
}

// assumedFirstEvent is the time to the first event, which the rate of the simulated runs does
// not include.
const assumedFirstEvent = 150 * time.Millisecond

// reservation returns zero: the ledger predicts how much memory runs will use.
func (*coordinatorPolicy) reservation(*request) float64 { return 0 }

func (p *coordinatorPolicy) ended(_ *simulation, _ *decodeEngine, finished *request, duration time.Duration, completed bool) {
	if !completed {
		p.ledger.End(p.names[finished], ledger.OutputTiming{})
		return
	}
	// The first event of the simulated runs is assumed to come at assumedFirstEvent.
	timing := ledger.OutputTiming{FirstEvent: assumedFirstEvent, Duration: duration, RestTokens: finished.output}
	if run, known := p.ledger.End(p.names[finished], timing); known {
		p.output.Observe(run.CallerEstimate, finished.output)
	}
}

func (p *coordinatorPolicy) retryAfter(s *simulation, rejected *request) time.Duration {
	return max(minRetryDelay, p.ledger.TimeUntilCapacity(s.Now(), p.runOf(s, rejected)))
}

// reservationPolicy reserves memory at an engine, based on the caller's estimate of the output.
type reservationPolicy struct{ random *rand.Rand }

// reservedFactor is the reserved output as a multiple of the expected output.
const reservedFactor = 1.3

func (p reservationPolicy) place(s *simulation, incoming *request) *decodeEngine {
	reservation := p.reservation(incoming)
	for _, i := range p.random.Perm(len(s.decodes)) {
		engine := s.decodes[i]
		if s.mayServe(engine, incoming) && engine.fits(reservation) {
			return engine
		}
	}
	return nil
}

func (reservationPolicy) reservation(incoming *request) float64 {
	return float64(incoming.prompt) + reservedFactor*float64(incoming.hint)
}

func (reservationPolicy) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}

func (reservationPolicy) retryAfter(*simulation, *request) time.Duration { return defaultRetryDelay }

// leastLoadedPolicy takes the engine with the fewest runs.
type leastLoadedPolicy struct{ random *rand.Rand }

func (p leastLoadedPolicy) place(s *simulation, incoming *request) *decodeEngine {
	order := s.enginesFor(incoming, p.random)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.pending[a], s.pending[b]) })
	return s.decodes[order[0]]
}

func (leastLoadedPolicy) reservation(*request) float64 { return 0 }

func (leastLoadedPolicy) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}
func (leastLoadedPolicy) retryAfter(*simulation, *request) time.Duration                  { return defaultRetryDelay }

// randomPolicy takes a random engine.
type randomPolicy struct{ random *rand.Rand }

func (p randomPolicy) place(s *simulation, incoming *request) *decodeEngine {
	return s.decodes[s.enginesFor(incoming, p.random)[0]]
}

func (randomPolicy) reservation(*request) float64 { return 0 }

func (randomPolicy) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}
func (randomPolicy) retryAfter(*simulation, *request) time.Duration                  { return defaultRetryDelay }
