package model

import (
	"math/rand/v2"
	"time"

	"github.com/reelrun/reelrun/scheduler"
)

// Arrival is one request of a trace. Its prompt shares nothing with others.
type Arrival struct {
	At            time.Duration
	Tenant        string
	PromptTokens  int
	OutputTokens  int
	FirstToken    time.Duration
	TokenInterval time.Duration
}

// Timing is what became of a request.
type Timing struct {
	Answered bool
	Refused  bool
	// FirstToken is the time to the first token, Interval the mean between tokens.
	FirstToken time.Duration
	Interval   time.Duration
}

// RunTrace plays a trace by the router's policy on a given number of engines. It
// is meant for comparing the model with other engines on the same requests.
func RunTrace(parameters Parameters, prefillEngines int, trace []Arrival) []Timing {
	random := rand.New(rand.NewPCG(1, 1))
	jobs := make([]*job, len(trace))
	for i, arrival := range trace {
		chosen := &kind{
			name: "trace", maxOutput: arrival.OutputTokens, firstToken: arrival.FirstToken, tokenInterval: arrival.TokenInterval,
		}
		jobs[i] = &job{
			id: i, kind: chosen, tenant: arrival.Tenant, arrival: arrival.At, prompt: arrival.PromptTokens, output: arrival.OutputTokens,
			blocks: promptBlocks(random, arrival.Tenant, chosen, arrival.PromptTokens),
		}
	}
	never := func() bool { return false }
	s := &simulation{parameters: parameters, stalls: never, gaps: never}
	for range prefillEngines {
		s.prefills = append(s.prefills, &prefillEngine{cache: newPrefixCache(parameters.CacheBlocks)})
	}
	for range parameters.DecodeEngines {
		s.decodes = append(s.decodes, &decodeEngine{up: true})
	}
	s.router = newPooled(s, jobs, scheduler.Options{})
	s.schedule(jobs, Options{Parameters: parameters})
	end := drainTime
	if len(trace) > 0 {
		end += trace[len(trace)-1].At
	}
	s.RunUntil(end)
	timings := make([]Timing, len(jobs))
	for i, j := range jobs {
		timings[i] = Timing{Answered: j.state.answered, Refused: j.state.refused}
		if j.state.answered {
			timings[i].FirstToken, timings[i].Interval = j.state.first-j.arrival, j.interval()
		}
	}
	return timings
}
