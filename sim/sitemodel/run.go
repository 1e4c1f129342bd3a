package sitemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

const (
	// firstWait and returnWait are the shares of the objective that a request waits for room
	// in its first attempt and when it has come back.
	firstWait, returnWait = 0.2, 0.65
	// waitStep is how often a request that waits is looked at.
	waitStep = 20 * time.Millisecond
	// shortestReturn and longestReturn bound when a refused caller comes back; plainReturn is
	// what policies say that cannot tell.
	shortestReturn = 200 * time.Millisecond
	longestReturn  = 4500 * time.Millisecond
	plainReturn    = time.Second
	// maxReads bounds how often the prompt of a request is read.
	maxReads = 3
	// Worth of answers: in time, late, and in time after a prompt refusal.
	worthInTime, worthLate = 1.0, 0.2
	worthReturned          = (worthInTime + worthLate) / 2
	// wastedPrice is what prompts read for nothing cost, by their share of all that is read:
	// on the users' bench 5.4 % of them cost 0.040 of the worth.
	wastedPrice = 0.75
)

// Options describe one run.
type Options struct {
	Site   string
	Policy string
	Seed   uint64
	// Load is one at the rate of the sheet.
	Load float64
	// Length is the virtual time over which requests arrive.
	Length time.Duration
	// Prefill is how many engines read prompts; zero takes the sheet's.
	Prefill int
}

// Outcome is the result of one run.
type Outcome struct {
	Site   string  `json:"site"`
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	// Score is what was earned as a share of what an answer in time to each request would
	// have earned, less the price of prompts read for nothing.
	Score float64 `json:"worth"`
	// InTime, Late, Refused and Failed are shares of the requests.
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// WastedPrefill is the share of the tokens read that were read for nothing or anew.
	WastedPrefill float64 `json:"wasted_prefill"`
	Preemptions   int     `json:"preemptions"`
	Offered       int     `json:"offered"`
}

// simulation is one run of the model.
type simulation struct {
	eventqueue.Queue
	sheet    Sheet
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// pending counts the requests given to each decode engine.
	pending []int
	policy  policy

	readTokens, wastedTokens float64
	preemptions              int
}

// Run plays one policy over one site.
func Run(options Options) (Outcome, error) {
	sheet, err := Find(options.Site)
	if err != nil {
		return Outcome{}, err
	}
	if options.Prefill > 0 {
		sheet.Decode += sheet.Prefill - options.Prefill
		sheet.Prefill = options.Prefill
	}
	const requestStream, policyStream = 1, 2
	chosen, err := newPolicy(options.Policy, rand.New(rand.NewPCG(options.Seed, policyStream)))
	if err != nil {
		return Outcome{}, err
	}
	s := newSimulation(sheet, chosen)
	requests := sheet.generate(rand.New(rand.NewPCG(options.Seed, requestStream)), options.Load, options.Length)
	for _, arriving := range requests {
		s.After(arriving.arrival, func() { s.arrive(arriving) })
	}
	s.PlayAll()
	return s.outcome(options, requests), nil
}

func newSimulation(sheet Sheet, chosen policy) *simulation {
	s := &simulation{sheet: sheet, policy: chosen, pending: make([]int, sheet.Decode)}
	for range sheet.Prefill {
		s.prefills = append(s.prefills, &prefillEngine{})
	}
	for i := range sheet.Decode {
		s.decodes = append(s.decodes, &decodeEngine{simulation: s, id: i})
	}
	return s
}

// arrive begins an attempt.
func (s *simulation) arrive(arriving *request) {
	arriving.attempt = s.Now()
	share := firstWait
	if arriving.returning {
		share = returnWait
	}
	s.wait(arriving, s.Now()+time.Duration(share*float64(s.sheet.Objective)))
}

// wait gives a request engines, or looks again until its time is over.
func (s *simulation) wait(waiting *request, until time.Duration) {
	reader := s.shortestPrefill()
	reading := s.readingTime(waiting.prompt)
	inTime := max(s.Now(), reader.free)+reading-waiting.attempt < s.sheet.Objective
	if inTime {
		if engine := s.policy.place(s, waiting); engine != nil {
			s.read(waiting, reader, engine)
			return
		}
	}
	if s.Now()+waitStep > until {
		s.refuse(waiting)
		return
	}
	s.After(waitStep, func() { s.wait(waiting, until) })
}

// refuse gives a request its final answer; the caller comes back once.
func (s *simulation) refuse(refused *request) {
	if refused.returning {
		refused.outcome = outcomeRefused
		return
	}
	refused.returning = true
	after := min(s.policy.returnAfter(s, refused), longestReturn)
	s.After(after, func() { s.arrive(refused) })
}

func (s *simulation) shortestPrefill() *prefillEngine {
	best := s.prefills[0]
	for _, candidate := range s.prefills {
		if candidate.free < best.free {
			best = candidate
		}
	}
	return best
}

func (s *simulation) readingTime(tokens int) time.Duration {
	return s.sheet.FirstToken + time.Duration(float64(tokens)/s.sheet.ReadPerMillisecond*float64(time.Millisecond))
}

// read has the prompt read, and then moved to the decode engine.
func (s *simulation) read(given *request, reader *prefillEngine, engine *decodeEngine) {
	given.reads++
	s.pending[engine.id]++
	engine.reserved += s.policy.setAside(given)
	reader.free = max(s.Now(), reader.free) + s.readingTime(given.prompt)
	s.After(reader.free-s.Now(), func() {
		s.readTokens += float64(given.prompt)
		begins := max(s.Now(), engine.linkFree)
		move := s.sheet.MoveSetup + time.Duration(float64(given.prompt)/s.sheet.LinkPerMillisecond*float64(time.Millisecond))
		if begins-s.Now() > s.sheet.HandleLife {
			s.turnedAway(given, engine)
			return
		}
		engine.linkFree = begins + move
		s.After(begins+move-s.Now(), func() { s.begin(given, engine) })
	})
}

// begin starts the answer where the engine has room for the prompt.
func (s *simulation) begin(given *request, engine *decodeEngine) {
	setAside := s.policy.setAside(given)
	if !engine.fits(max(0, float64(given.prompt)-setAside)) {
		s.turnedAway(given, engine)
		return
	}
	engine.reserved -= setAside
	given.first = s.Now() + engine.step()*time.Duration(s.sheet.EventTokens)
	engine.admit(&run{request: given, setAside: setAside})
}

// turnedAway reads a prompt once more where its engine did not take it.
func (s *simulation) turnedAway(given *request, engine *decodeEngine) {
	s.pending[engine.id]--
	engine.reserved -= s.policy.setAside(given)
	s.wastedTokens += float64(given.prompt)
	s.policy.ended(s, engine, given, 0, false)
	if given.reads >= maxReads {
		s.refuse(given)
		return
	}
	s.wait(given, s.Now())
}

// served ends a request with a whole answer.
func (s *simulation) served(engine *decodeEngine, over *run) {
	s.pending[engine.id]--
	over.request.outcome = outcomeServed
	s.policy.ended(s, engine, over.request, s.Now()-over.request.attempt, true)
}

func (s *simulation) outcome(options Options, requests []*request) Outcome {
	result := Outcome{
		Site: options.Site, Policy: options.Policy, Seed: options.Seed, Load: options.Load,
		Offered: len(requests), Preemptions: s.preemptions,
	}
	for _, ended := range requests {
		inTime := ended.first-ended.attempt <= s.sheet.Objective && !ended.paused
		switch {
		case ended.outcome == outcomeRefused:
			result.Refused++
		case ended.outcome != outcomeServed:
			result.Failed++
		case !inTime:
			result.Late++
			result.Score += worthLate
		case ended.returning:
			result.InTime++
			result.Score += worthReturned
		default:
			result.InTime++
			result.Score += worthInTime
		}
	}
	offered := float64(max(1, len(requests)))
	for _, share := range []*float64{&result.Score, &result.InTime, &result.Late, &result.Refused, &result.Failed} {
		*share = round(*share / offered)
	}
	result.WastedPrefill = round(s.wastedTokens / max(1, s.readTokens))
	result.Score = round(result.Score - wastedPrice*result.WastedPrefill)
	return result
}

// round keeps five decimals, so that output does not depend on the last bits.
func round(value float64) float64 {
	const scale = 1e5
	return math.Round(value*scale) / scale
}
