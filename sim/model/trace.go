package model

import (
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/scheduler"
)

// Arrival is one request of a trace. Its prompt shares no prefix with others.
type Arrival struct {
	At            time.Duration
	Tenant        string
	PromptTokens  int
	OutputTokens  int
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Timing is the result of one request.
type Timing struct {
	Answered bool
	Rejected bool
	// FirstToken is the time to the first token, and Interval the mean time between
	// tokens.
	FirstToken time.Duration
	Interval   time.Duration
}

// RunTrace simulates a trace with the router's policy on the given number of prefill
// engines, to compare the model with other engines on the same requests.
func RunTrace(parameters Parameters, prefillEngines int, trace []Arrival) []Timing {
	random := rand.New(rand.NewPCG(1, 1))
	jobs := make([]*job, len(trace))
	for i, arrival := range trace {
		chosen := &requestKind{
			name: "trace", maxOutput: arrival.OutputTokens, firstToken: arrival.FirstToken, tokenInterval: arrival.TokenInterval,
		}
		jobs[i] = &job{
			id: i, kind: chosen, tenant: arrival.Tenant, arrival: arrival.At, prompt: arrival.PromptTokens, output: arrival.OutputTokens,
			blocks: promptBlocks(random, arrival.Tenant, chosen, arrival.PromptTokens),
		}
	}
	never := func() bool { return false }
	s := &simulation{parameters: parameters, transferStalls: never, eventLost: never}
	for range prefillEngines {
		s.prefills = append(s.prefills, &prefillEngine{cache: newPrefixCache(parameters.CacheBlocks)})
	}
	for range parameters.DecodeEngines {
		s.decodes = append(s.decodes, &decodeEngine{available: true})
	}
	s.router = newPoolRouter(s, jobs, scheduler.Options{})
	s.schedule(jobs, Options{Parameters: parameters})
	end := settleTime
	if len(trace) > 0 {
		end += trace[len(trace)-1].At
	}
	s.RunUntil(end)
	timings := make([]Timing, len(jobs))
	for i, j := range jobs {
		timings[i] = Timing{Answered: j.state.answered, Rejected: j.state.rejected}
		if j.state.answered {
			timings[i].FirstToken, timings[i].Interval = j.state.firstTokenAt-j.arrival, j.interval()
		}
	}
	return timings
}
