package sitemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Sheet describes a site: its engines and its callers. Sizes are in tokens.
type Sheet struct {
	Name string
	// Prefill and Decode are the numbers of engines in each role.
	Prefill, Decode int
	// Memory and Slots bound a decode engine.
	Memory, Slots int
	// Step is the time of one decode step with an empty batch, StepPerRun what each run
	// adds, and StepPerThousand what each thousand tokens of context add.
	Step, StepPerRun, StepPerThousand time.Duration
	// ReadPerMillisecond is the pace of a prefill engine, FirstToken what a read takes
	// besides.
	ReadPerMillisecond float64
	FirstToken         time.Duration
	// LinkPerMillisecond is how many tokens of memory a link moves, MoveSetup what a move
	// takes besides.
	LinkPerMillisecond float64
	MoveSetup          time.Duration
	// HandleLife is how long a prompt that was read is kept.
	HandleLife time.Duration
	// EventTokens is how many tokens come in one event.
	EventTokens int
	// Rate is the number of requests a second at load 1.
	Rate float64
	// Prompt, Shared and Events are the sizes of requests; Hint is the spread of what callers
	// expect around what comes.
	Prompt, Shared, Events Size
	Hint                   float64
	// Objective is the time to the first event in which an answer earns all, MaxPause the
	// longest pause between events.
	Objective, MaxPause time.Duration
}

// Size is a log-normal distribution with a bound.
type Size struct{ Mean, Spread, Most float64 }

// draw returns a size of at least one.
func (s Size) draw(random *rand.Rand) int {
	return int(min(max(1, s.Mean*factor(random, s.Spread)), s.Most))
}

// factor is a log-normal factor with mean one.
func factor(random *rand.Rand, spread float64) float64 {
	return math.Exp(spread*random.NormFloat64() - spread*spread/2)
}

// sheets are the users' two sites as their sheets tell them, with three of nine engines
// reading prompts.
var sheets = []Sheet{
	{
		Name: "fisio-xela-site", Prefill: 3, Decode: 6, Memory: 89_659, Slots: 64,
		Step: 579 * time.Microsecond, StepPerRun: 19_100 * time.Nanosecond, StepPerThousand: 344 * time.Nanosecond,
		ReadPerMillisecond: 55.5556, FirstToken: 2400 * time.Microsecond, LinkPerMillisecond: 6_780, MoveSetup: time.Millisecond,
		HandleLife: 500 * time.Millisecond, EventTokens: 64, Rate: 10.35,
		Prompt: Size{5000, 0.5, 11_000}, Shared: Size{200, 0.2, 300}, Events: Size{69, 0.7, 170}, Hint: 0.5,
		Objective: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
	},
	{
		Name: "amrc-site", Prefill: 3, Decode: 6, Memory: 89_474, Slots: 64,
		Step: 632 * time.Microsecond, StepPerRun: 14_900 * time.Nanosecond, StepPerThousand: 230 * time.Nanosecond,
		ReadPerMillisecond: 55.5556, FirstToken: 2700 * time.Microsecond, LinkPerMillisecond: 4_747, MoveSetup: 1300 * time.Microsecond,
		HandleLife: 500 * time.Millisecond, EventTokens: 63, Rate: 10.41,
		Prompt: Size{5000, 0.5, 11_000}, Shared: Size{200, 0.2, 300}, Events: Size{70, 0.7, 170}, Hint: 0.5,
		Objective: 900 * time.Millisecond, MaxPause: 300 * time.Millisecond,
	},
}

// Sites are the names of the sites.
func Sites() []string {
	names := make([]string, len(sheets))
	for i, sheet := range sheets {
		names[i] = sheet.Name
	}
	return names
}

// Find returns the sheet of a site.
func Find(name string) (Sheet, error) {
	for _, sheet := range sheets {
		if sheet.Name == name {
			return sheet, nil
		}
	}
	return Sheet{}, errors.Newf("unknown site %q", name)
}

// Bursts multiply the rate for a part of each period. Those of the sites reach two to four
// times the rate where they overlap.
const (
	burstPeriod = 15 * time.Second
	burstLength = 4 * time.Second
	burstFactor = 3
)

// request is one request and what has become of it.
type request struct {
	prompt int
	// output is how many tokens come out, hint how many its caller expects.
	output, hint int
	arrival      time.Duration
	// returning is set once the request was refused.
	returning bool
	// attempt is when its present attempt came.
	attempt time.Duration
	// reads counts how often its prompt was read.
	reads   int
	outcome outcome
	first   time.Duration
	paused  bool
}

// outcome is how a request ended.
type outcome int

const (
	outcomeOpen outcome = iota
	outcomeServed
	outcomeRefused
)

// generate returns the requests of a run in the order of their arrival.
func (s Sheet) generate(random *rand.Rand, load float64, length time.Duration) []*request {
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
		hint := max(1, int(float64(output)*math.Exp(s.Hint*random.NormFloat64())))
		requests = append(requests, &request{
			prompt: s.Prompt.draw(random) + s.Shared.draw(random), output: output, hint: hint, arrival: at, attempt: at,
		})
	}
}
