package sitemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/sim/eventqueue"
)

const (
	// firstWait and retryWait are the shares of the objective for which a request waits for
	// capacity in its first attempt and in a client retry.
	firstWait, retryWait = 0.2, 0.65
	// waitInterval is the time between two placement attempts of a waiting request.
	waitInterval = 20 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay of a client retry; defaultRetryDelay is
	// that of policies which cannot predict capacity.
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 4500 * time.Millisecond
	defaultRetryDelay = time.Second
	// maxPrefills bounds the prefills of a request before it is rejected.
	maxPrefills = 3
	// Scores of requests: served in time, served late, and served in time after a quick rejection.
	scoreInTime, scoreLate = 1.0, 0.2
	scoreRetried           = (scoreInTime + scoreLate) / 2
	// wastedPrefillCost is subtracted from the score, times the share of prefilled tokens that
	// were wasted: in the reference benchmark a share of 5.4 % cost 0.040 of the score.
	wastedPrefillCost = 0.75
)

// Options configures one run.
type Options struct {
	Site   string
	Policy string
	Seed   uint64
	// Load is the request rate as a multiple of the site's rate.
	Load float64
	// Length is the virtual time over which requests arrive.
	Length time.Duration
	// Prefill is the number of prefill engines; zero means the number of the site.
	Prefill int
	// Versions is the number of software versions among the decode engines, by turns. Default 1.
	Versions int
	// BreakShare is the share of the callers that break off their streams in the middle and resume them at once.
	BreakShare float64
}

// Outcome is the result of one run.
type Outcome struct {
	Site   string  `json:"site"`
	Policy string  `json:"policy"`
	Seed   uint64  `json:"seed"`
	Load   float64 `json:"load"`
	// Score is the mean score of the requests, where a response in time to the first attempt
	// scores one, less the cost of wasted prefill.
	Score float64 `json:"worth"`
	// InTime, Late, Rejected and Failed are shares of the requests.
	InTime   float64 `json:"in_time"`
	Late     float64 `json:"late"`
	Rejected float64 `json:"refused"`
	Failed   float64 `json:"failed"`
	// WastedPrefill is the share of the prefilled tokens that were wasted or recomputed.
	WastedPrefill float64 `json:"wasted_prefill"`
	Preemptions   int     `json:"preemptions"`
	// Offered is the number of requests.
	Offered int `json:"offered"`
	// Resumed is the number of streams that were resumed, and Continued the share of them that were served to the end.
	Resumed   int     `json:"resumed,omitempty"`
	Continued float64 `json:"continued,omitempty"`
}

// simulation is one run of the model.
type simulation struct {
	eventqueue.Queue
	site     Site
	prefills []*prefillEngine
	decodes  []*decodeEngine
	// pending counts the requests assigned to each decode engine.
	pending []int
	policy  policy
	// versions is the number of software versions among the decode engines.
	versions int

	// wastedTokens are the prefilled tokens that were wasted or recomputed.
	prefilledTokens, wastedTokens float64
	preemptions                   int
}

// Run simulates one policy at one site.
func Run(options Options) (Outcome, error) {
	site, err := Find(options.Site)
	if err != nil {
		return Outcome{}, err
	}
	if options.Prefill > 0 {
		site.Decode += site.Prefill - options.Prefill
		site.Prefill = options.Prefill
	}
	const requestStream, policyStream, breakStream = 1, 2, 3
	chosen, err := newPolicy(options.Policy, rand.New(rand.NewPCG(options.Seed, policyStream)))
	if err != nil {
		return Outcome{}, err
	}
	s := newSimulation(site, chosen)
	s.versions = max(1, options.Versions)
	requests := site.generate(rand.New(rand.NewPCG(options.Seed, requestStream)), options.Load, options.Length)
	drawBreaks(requests, options.BreakShare, rand.New(rand.NewPCG(options.Seed, breakStream)))
	for _, arriving := range requests {
		s.After(arriving.arrival, func() { s.arrive(arriving) })
	}
	s.RunAll()
	return s.outcome(options, requests), nil
}

func newSimulation(site Site, chosen policy) *simulation {
	s := &simulation{site: site, policy: chosen, pending: make([]int, site.Decode)}
	for range site.Prefill {
		s.prefills = append(s.prefills, &prefillEngine{})
	}
	for i := range site.Decode {
		s.decodes = append(s.decodes, &decodeEngine{simulation: s, id: i})
	}
	return s
}

// arrive starts an attempt at a request.
func (s *simulation) arrive(arriving *request) {
	arriving.attemptedAt = s.Now()
	share := firstWait
	if arriving.retried {
		share = retryWait
	}
	s.wait(arriving, s.Now()+time.Duration(share*float64(s.site.Objective)))
}

// wait assigns engines to a request, or retries until its waiting time is over.
func (s *simulation) wait(waiting *request, until time.Duration) {
	prefiller := s.shortestPrefill()
	prefill := s.prefillTime(waiting.prompt)
	inTime := max(s.Now(), prefiller.freeAt)+prefill-waiting.attemptedAt < s.site.Objective
	if inTime {
		if engine := s.policy.place(s, waiting); engine != nil {
			s.prefill(waiting, prefiller, engine)
			return
		}
	}
	if s.Now()+waitInterval > until {
		s.reject(waiting)
		return
	}
	s.After(waitInterval, func() { s.wait(waiting, until) })
}

// reject rejects a request; its caller retries once.
func (s *simulation) reject(rejected *request) {
	if rejected.retried {
		rejected.outcome = outcomeRejected
		return
	}
	rejected.retried = true
	after := min(s.policy.retryAfter(s, rejected), maxRetryDelay)
	s.After(after, func() { s.arrive(rejected) })
}

func (s *simulation) shortestPrefill() *prefillEngine {
	best := s.prefills[0]
	for _, candidate := range s.prefills {
		if candidate.freeAt < best.freeAt {
			best = candidate
		}
	}
	return best
}

func (s *simulation) prefillTime(tokens int) time.Duration {
	return s.site.PrefillOverhead + time.Duration(float64(tokens)/s.site.PrefillPerMillisecond*float64(time.Millisecond))
}

// prefill prefills the prompt and transfers the result to the decode engine.
func (s *simulation) prefill(assigned *request, prefiller *prefillEngine, engine *decodeEngine) {
	assigned.prefills++
	s.pending[engine.id]++
	engine.reserved += s.policy.reservation(assigned)
	prefiller.freeAt = max(s.Now(), prefiller.freeAt) + s.prefillTime(assigned.prompt)
	s.After(prefiller.freeAt-s.Now(), func() {
		s.prefilledTokens += float64(assigned.prompt)
		transferStart := max(s.Now(), engine.linkFreeAt)
		transfer := s.site.TransferOverhead + time.Duration(float64(assigned.prompt)/s.site.LinkPerMillisecond*float64(time.Millisecond))
		if transferStart-s.Now() > s.site.HandleLifetime {
			s.decodeRejected(assigned, engine)
			return
		}
		engine.linkFreeAt = transferStart + transfer
		s.After(transferStart+transfer-s.Now(), func() { s.startDecode(assigned, engine) })
	})
}

// startDecode starts the generation if the engine has capacity for the prompt.
func (s *simulation) startDecode(assigned *request, engine *decodeEngine) {
	reservation := s.policy.reservation(assigned)
	if !engine.fits(max(0, float64(assigned.prompt)-reservation)) {
		s.decodeRejected(assigned, engine)
		return
	}
	engine.reserved -= reservation
	assigned.firstEventAt = s.Now() + engine.step()*time.Duration(s.site.EventTokens)
	engine.admit(&run{request: assigned, reserved: reservation})
}

// decodeRejected repeats the prefill of a request that its decode engine rejected, or rejects the
// request after maxPrefills.
func (s *simulation) decodeRejected(assigned *request, engine *decodeEngine) {
	s.pending[engine.id]--
	engine.reserved -= s.policy.reservation(assigned)
	s.wastedTokens += float64(assigned.prompt)
	s.policy.ended(s, engine, assigned, 0, false)
	if assigned.prefills >= maxPrefills {
		s.reject(assigned)
		return
	}
	s.wait(assigned, s.Now())
}

// served ends a request with a complete output.
func (s *simulation) served(engine *decodeEngine, finished *run) {
	s.pending[engine.id]--
	s.policy.ended(s, engine, finished.request, s.Now()-finished.request.attemptedAt, true)
	if finished.request.rest > 0 {
		s.resume(engine, finished.request)
		return
	}
	finished.request.outcome = outcomeServed
}

func (s *simulation) outcome(options Options, requests []*request) Outcome {
	result := Outcome{
		Site: options.Site, Policy: options.Policy, Seed: options.Seed, Load: options.Load,
		Offered: len(requests), Preemptions: s.preemptions,
	}
	for _, ended := range requests {
		inTime := s.isInTime(ended) && !ended.isLate
		if ended.resumed {
			result.Resumed++
			if ended.outcome == outcomeServed {
				result.Continued++
			}
		}
		switch {
		case ended.outcome == outcomeRejected:
			result.Rejected++
		case ended.outcome != outcomeServed:
			result.Failed++
		case !inTime:
			result.Late++
			result.Score += scoreLate
		case ended.retried:
			result.InTime++
			result.Score += scoreRetried
		default:
			result.InTime++
			result.Score += scoreInTime
		}
	}
	offered := float64(max(1, len(requests)))
	for _, share := range []*float64{&result.Score, &result.InTime, &result.Late, &result.Rejected, &result.Failed} {
		*share = round(*share / offered)
	}
	result.Continued = round(result.Continued / float64(max(1, result.Resumed)))
	result.WastedPrefill = round(s.wastedTokens / max(1, s.prefilledTokens))
	result.Score = round(result.Score - wastedPrefillCost*result.WastedPrefill)
	return result
}

// round keeps five decimals, so that output does not depend on the last bits.
func round(value float64) float64 {
	const scale = 1e5
	return math.Round(value*scale) / scale
}
