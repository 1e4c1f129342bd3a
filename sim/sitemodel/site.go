package sitemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Site describes the engines and the callers of a site. Sizes are in tokens.
type Site struct {
	Name string
	// Prefill and Decode are the numbers of engines in each role.
	Prefill, Decode int
	// Memory, in tokens, and Slots, in runs, bound a decode engine.
	Memory, Slots int
	// Step is the time of one decode step with an empty batch, StepPerRun what each run
	// adds, and StepPerThousand what each thousand tokens of context add.
	Step, StepPerRun, StepPerThousand time.Duration
	// PrefillPerMillisecond is the rate of a prefill engine in tokens, PrefillOverhead the
	// constant time of each prefill.
	PrefillPerMillisecond float64
	PrefillOverhead       time.Duration
	// LinkPerMillisecond is the number of tokens whose memory a link transfers in a
	// millisecond, TransferOverhead the constant time of each transfer.
	LinkPerMillisecond float64
	TransferOverhead   time.Duration
	// HandleLifetime is how long a prefill result is kept.
	HandleLifetime time.Duration
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// Rate is the number of requests a second at load 1.
	Rate float64
	// Prompt, Shared and Events are the sizes of requests; HintDeviation is the standard
	// deviation of the logarithm of the callers' estimates around the actual output.
	Prompt, Shared, Events Size
	HintDeviation          float64
	// Objective is the longest time to the first event of a response in time, MaxPause the
	// longest pause between its events.
	Objective, MaxPause time.Duration
}

// Size is a log-normal distribution with an upper bound; Deviation is the standard deviation
// of the logarithm.
type Size struct{ Mean, Deviation, Max float64 }

// draw returns a random size of at least one.
func (s Size) draw(random *rand.Rand) int {
	return int(min(max(1, s.Mean*factor(random, s.Deviation)), s.Max))
}

// factor returns a log-normal factor with mean one.
func factor(random *rand.Rand, deviation float64) float64 {
	return math.Exp(deviation*random.NormFloat64() - deviation*deviation/2)
}

// sites are the two supported deployments as they are specified, with three of nine engines in
// the prefill role.
var sites = []Site{
	{
		Name: "fisio-xela-site", Prefill: 3, Decode: 6, Memory: 89_659, Slots: 64,
		Step: 579 * time.Microsecond, StepPerRun: 19_100 * time.Nanosecond, StepPerThousand: 344 * time.Nanosecond,
		PrefillPerMillisecond: 55.5556, PrefillOverhead: 2400 * time.Microsecond, LinkPerMillisecond: 6_780, TransferOverhead: time.Millisecond,
		HandleLifetime: 500 * time.Millisecond, EventTokens: 64, Rate: 10.35,
		Prompt: Size{5000, 0.5, 11_000}, Shared: Size{200, 0.2, 300}, Events: Size{69, 0.7, 170}, HintDeviation: 0.5,
		Objective: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
	},
	{
		Name: "amrc-site", Prefill: 3, Decode: 6, Memory: 89_474, Slots: 64,
		Step: 632 * time.Microsecond, StepPerRun: 14_900 * time.Nanosecond, StepPerThousand: 230 * time.Nanosecond,
		PrefillPerMillisecond: 55.5556, PrefillOverhead: 2700 * time.Microsecond, LinkPerMillisecond: 4_747, TransferOverhead: 1300 * time.Microsecond,
		HandleLifetime: 500 * time.Millisecond, EventTokens: 63, Rate: 10.41,
		Prompt: Size{5000, 0.5, 11_000}, Shared: Size{200, 0.2, 300}, Events: Size{70, 0.7, 170}, HintDeviation: 0.5,
		Objective: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
	},
}

// Sites returns the names of the sites.
func Sites() []string {
	names := make([]string, len(sites))
	for i, site := range sites {
		names[i] = site.Name
	}
	return names
}

// Find returns a site by its name.
func Find(name string) (Site, error) {
	for _, site := range sites {
		if site.Name == name {
			return site, nil
		}
	}
	return Site{}, errors.Newf("unknown site %q", name)
}

// Bursts multiply the rate by burstFactor at the end of each period. The bursts of the sites
// themselves reach two to four times the rate where several overlap.
const (
	burstPeriod = 15 * time.Second
	burstLength = 4 * time.Second
	burstFactor = 3
)

// request is one request with its state and result.
type request struct {
	prompt int
	// output is the actual output in tokens, hint the estimate of its caller.
	output, hint int
	arrival      time.Duration
	// retried is set once the request was rejected and its caller retries.
	retried bool
	// attemptedAt is when the current attempt arrived.
	attemptedAt time.Duration
	// prefills counts the prefills of its prompt.
	prefills int
	outcome  outcome
	// firstEventAt is when the first event of the output is sent.
	firstEventAt time.Duration
	// rest is the number of output tokens after the point at which the caller breaks off the stream; zero if it does not.
	rest int
	// resumed is set once the caller has resumed the stream, at the given software version of the decode engines, and isLate
	// if the stream was late before that.
	resumed, isLate bool
	version         int
	// paused is set once the output was interrupted for longer than the site's MaxPause.
	paused bool
}

// outcome is how a request ended.
type outcome int

const (
	outcomeOpen outcome = iota
	outcomeServed
	outcomeRejected
)

// generate returns the requests of a run in order of arrival.
func (s Site) generate(random *rand.Rand, load float64, length time.Duration) []*request {
	var requests []*request
	for at := time.Duration(0); ; {
		rate := s.Rate * load
		if at%burstPeriod >= burstPeriod-burstLength {
			rate *= burstFactor
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return requests
		}
		output := s.Events.draw(random) * s.EventTokens
		hint := max(1, int(float64(output)*math.Exp(s.HintDeviation*random.NormFloat64())))
		requests = append(requests, &request{
			prompt: s.Prompt.draw(random) + s.Shared.draw(random), output: output, hint: hint, arrival: at, attemptedAt: at,
		})
	}
}
