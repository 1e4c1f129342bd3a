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

// policy decides which decode engine a request is given before its prompt is read.
type policy interface {
	// place returns an engine, or nil where the request is to wait.
	place(s *simulation, asked *request) *decodeEngine
	// setAside is the memory that an engine sets aside for a run, from when it is placed
	// until it has ended.
	setAside(asked *request) float64
	// ended tells of a run that is over; whole is false where it did not begin.
	ended(s *simulation, e *decodeEngine, over *request, took time.Duration, whole bool)
	// returnAfter is when a refused caller is to come back.
	returnAfter(s *simulation, refused *request) time.Duration
}

// The names of the policies.
const (
	// PolicyCoordinator gives engines by one ledger that looks ahead.
	PolicyCoordinator = "coordinator"
	// PolicyReservation asks the engines for memory, in an order of chance.
	PolicyReservation = "reservation"
	// PolicyLeastLoaded takes the engine with the fewest runs and asks nobody.
	PolicyLeastLoaded = "least-loaded"
	// PolicyRandom takes any engine.
	PolicyRandom = "random"
)

// Policies are the names of the policies, the router's own first.
func Policies() []string {
	return []string{PolicyCoordinator, PolicyReservation, PolicyLeastLoaded, PolicyRandom}
}

func newPolicy(name string, random *rand.Rand) (policy, error) {
	switch name {
	case PolicyCoordinator:
		return &coordinated{book: ledger.New(ledger.Options{}), names: map[*request]string{}}, nil
	case PolicyReservation:
		return reserving{random}, nil
	case PolicyLeastLoaded:
		return leastLoaded{random}, nil
	case PolicyRandom:
		return anyEngine{random}, nil
	default:
		return nil, errors.Newf("unknown policy %q", name)
	}
}

// coordinated is the router's own policy: the ledger that its coordinators keep.
type coordinated struct {
	book    *ledger.Ledger
	output  estimate.OutputLength
	names   map[*request]string
	started bool
	next    int
}

func (p *coordinated) start(s *simulation) {
	if p.started {
		return
	}
	p.started = true
	engines := make([]ledger.Engine, len(s.decodes))
	for i, engine := range s.decodes {
		engines[i] = ledger.Engine{ID: strconv.Itoa(engine.id), Memory: s.sheet.Memory, Slots: s.sheet.Slots}
	}
	p.book.SetEngines(engines)
}

func (p *coordinated) runOf(s *simulation, asked *request) ledger.Run {
	most := int(s.sheet.Events.Most) * s.sheet.EventTokens
	expected := min(asked.hint, most)
	return ledger.Run{
		ID: p.names[asked], Prompt: asked.prompt, CallerEstimate: expected, MaxOutput: most,
		Output: p.output.Mean(expected, most), Holder: "node",
	}
}

func (p *coordinated) place(s *simulation, asked *request) *decodeEngine {
	p.start(s)
	p.next++
	p.names[asked] = strconv.Itoa(p.next)
	given, found := p.book.Assign(s.Now(), p.runOf(s, asked), nil)
	if !found {
		return nil
	}
	id, err := strconv.Atoi(given)
	if err != nil {
		panic(err) // Named above.
	}
	return s.decodes[id]
}

// assumedStart is the time to the first event that the pace of the emulator's runs is taken
// without.
const assumedStart = 150 * time.Millisecond

// setAside is nothing: the book sees to the room that runs grow into.
func (*coordinated) setAside(*request) float64 { return 0 }

func (p *coordinated) ended(_ *simulation, _ *decodeEngine, over *request, took time.Duration, whole bool) {
	if !whole {
		p.book.End(p.names[over], ledger.AnswerTiming{})
		return
	}
	// The emulator's runs begin with their first event at the guessed start.
	answer := ledger.AnswerTiming{FirstEvent: assumedStart, Duration: took, RestTokens: over.output}
	if run, known := p.book.End(p.names[over], answer); known {
		p.output.Observe(run.CallerEstimate, over.output)
	}
}

func (p *coordinated) returnAfter(s *simulation, refused *request) time.Duration {
	return max(shortestReturn, p.book.TimeUntilCapacity(s.Now(), p.runOf(s, refused)))
}

// reserving asks the engines for the memory that the caller expects to need.
type reserving struct{ random *rand.Rand }

// reservedMargin is how much of the expected output is reserved.
const reservedMargin = 1.3

func (p reserving) place(s *simulation, asked *request) *decodeEngine {
	wanted := p.setAside(asked)
	for _, i := range p.random.Perm(len(s.decodes)) {
		engine := s.decodes[i]
		if engine.fits(wanted) {
			return engine
		}
	}
	return nil
}

func (reserving) setAside(asked *request) float64 {
	return float64(asked.prompt) + reservedMargin*float64(asked.hint)
}

func (reserving) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}

func (reserving) returnAfter(*simulation, *request) time.Duration { return plainReturn }

// leastLoaded takes the engine with the fewest runs.
type leastLoaded struct{ random *rand.Rand }

func (p leastLoaded) place(s *simulation, _ *request) *decodeEngine {
	order := p.random.Perm(len(s.decodes))
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.pending[a], s.pending[b]) })
	return s.decodes[order[0]]
}

func (leastLoaded) setAside(*request) float64 { return 0 }

func (leastLoaded) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}
func (leastLoaded) returnAfter(*simulation, *request) time.Duration                 { return plainReturn }

// anyEngine takes an engine by chance.
type anyEngine struct{ random *rand.Rand }

func (p anyEngine) place(s *simulation, _ *request) *decodeEngine {
	return s.decodes[p.random.IntN(len(s.decodes))]
}

func (anyEngine) setAside(*request) float64 { return 0 }

func (anyEngine) ended(*simulation, *decodeEngine, *request, time.Duration, bool) {}
func (anyEngine) returnAfter(*simulation, *request) time.Duration                 { return plainReturn }
