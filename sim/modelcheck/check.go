package modelcheck

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/scheduler"
	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/model"
	"github.com/reelrun/reelrun/sim/quantile"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

// Properties of the engines, which are the same for the model and the stand-in engines,
// and of the trace. Sizes are in tokens and rates in tokens per second.
const (
	prefillEngines  = 2
	decodeEngines   = 2
	slots           = 8
	prefillRate     = 20_000
	linkRate        = 200_000
	stepTime        = 20 * time.Millisecond
	firstToken      = 1500 * time.Millisecond
	tokenInterval   = 50 * time.Millisecond
	tenants         = 4
	readyTimeout    = time.Minute
	meanOutput      = 80
	tokensPerSecond = float64(decodeEngines*slots) * float64(time.Second) / float64(stepTime)
)

// Options configure one comparison.
type Options struct {
	Seed uint64
	// Load is the offered load; 1 fills the decode engines on average.
	Load float64
	// Requests is the number of requests in the trace.
	Requests int
}

// Summary is the result of the trace on the model or on the stand-in engines. Times are
// in seconds; Answered, Rejected and Goodput are shares of all requests.
type Summary struct {
	Answered    float64 `json:"answered"`
	Rejected    float64 `json:"refused"`
	Goodput     float64 `json:"goodput"`
	TTFTMedian  float64 `json:"ttft_median_s"`
	TTFTP95     float64 `json:"ttft_p95_s"`
	IntervalP95 float64 `json:"tbt_p95_s"`
}

// Report holds the results of the model and of the stand-in engines for one trace.
type Report struct {
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Model   Summary `json:"model"`
	Engines Summary `json:"engines"`
}

// Check runs one trace on the model and on stand-in engines behind real nodes.
func Check(ctx context.Context, options Options) (*Report, error) {
	trace := newTrace(options)
	engines, err := runOnEngines(ctx, trace)
	if err != nil {
		return nil, err
	}
	simulated := model.RunTrace(parameters(), prefillEngines, trace)
	return &Report{Load: options.Load, Seed: options.Seed, Model: summarize(simulated), Engines: summarize(engines)}, nil
}

func newTrace(options Options) []model.Arrival {
	const stream = 11
	random := rand.New(rand.NewPCG(options.Seed, stream))
	rate := tokensPerSecond / meanOutput * options.Load
	trace := make([]model.Arrival, options.Requests)
	at := time.Duration(0)
	for i := range trace {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		const minPrompt, promptRange, minOutput, outputRange = 500, 3500, 40, 81
		trace[i] = model.Arrival{
			At: at, Tenant: fmt.Sprintf("tenant-%d", random.IntN(tenants)), PromptTokens: minPrompt + random.IntN(promptRange),
			OutputTokens: minOutput + random.IntN(outputRange), FirstToken: firstToken, TokenInterval: tokenInterval,
		}
	}
	return trace
}

// parameters returns the properties of the stand-in engines as parameters of the model.
func parameters() model.Parameters {
	matching := model.DefaultParameters()
	matching.PrefillTokensPerSecond, matching.PrefillOverhead = prefillRate, 0
	matching.Step = scheduler.StepModel{Base: stepTime / 2, PerRequest: stepTime / 2 / slots}
	matching.Slots, matching.KVTokens, matching.LinkTokensPerSecond = slots, api.DefaultKVTokens, linkRate
	matching.DecodeEngines, matching.StallShare, matching.DisconnectShare = decodeEngines, 0, 0
	matching.Hold = api.DefaultHold
	return matching
}

// fleetOptions returns the same properties as options of the fleet, which consists of
// nodes and stand-in engines.
func fleetOptions() rehearsal.Options {
	zones := []string{"zone"}
	configuration := rehearsal.Generate(rehearsal.Shape{
		Zones: zones, Models: 1, PoolsPerModel: 1, EnginesPerPool: prefillEngines + decodeEngines, Tenants: tenants, Services: 1,
	})
	pool := &configuration.Pools[0]
	pool.PrefillTokensPerSecond, pool.LinkTokensPerSecond, pool.StepTime = prefillRate, linkRate, api.Duration(stepTime)
	for i := range pool.Engines {
		pool.Engines[i].Slots = slots
	}
	engine := rehearsal.EngineOptions()
	engine.Slots, engine.PrefillTokensPerSecond, engine.LinkTokensPerSecond, engine.StepTime = slots, prefillRate, linkRate, stepTime
	return rehearsal.Options{Zones: zones, NodesPerZone: 2, Configuration: configuration, Engine: engine}
}

func runOnEngines(ctx context.Context, trace []model.Arrival) ([]model.Timing, error) {
	fleet, err := rehearsal.NewFleet(ctx, fleetOptions())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	fleet.StartAll()
	if !fleet.WaitReady(readyTimeout) {
		return nil, errors.New("modelcheck: fleet did not become ready in time")
	}
	timings := make([]model.Timing, len(trace))
	start := time.Now()
	var calls sync.WaitGroup
	for i, arrival := range trace {
		call, err := newCall(fleet, i, arrival)
		if err != nil {
			return nil, err
		}
		time.Sleep(arrival.At - time.Since(start))
		calls.Add(1)
		go func() {
			defer calls.Done()
			result := load.Send(ctx, call)
			timings[i] = model.Timing{
				Answered: result.Ending == load.EndingAnswered, Rejected: result.Ending == load.EndingRejected,
				FirstToken: result.FirstToken, Interval: result.Interval,
			}
		}()
	}
	calls.Wait()
	return timings, nil
}

func newCall(fleet *rehearsal.Fleet, index int, arrival model.Arrival) (load.Call, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return load.Call{}, errors.Wrap(err, "create idempotency key")
	}
	var tenant int
	if _, err := fmt.Sscanf(arrival.Tenant, "tenant-%d", &tenant); err != nil {
		return load.Call{}, errors.Wrap(err, "parse tenant number")
	}
	// Every prompt begins with its request number, so that no two prompts share a cached
	// prefix.
	const token = "tok "
	text := fmt.Sprintf("%-*d", len(token), index) + strings.Repeat(token, arrival.PromptTokens-1)
	nodes := fleet.Alive()
	return load.Call{
		Client: fleet.Client("192.0.2.1"), Nodes: []string{nodes[index%len(nodes)].CallerAddress()}, Key: key.String(),
		Prompt: text, Tokens: arrival.OutputTokens,
		Kind: &load.Kind{
			Name: "trace", Token: rehearsal.Token(tenant), Class: "long-0", Model: "model-0", Stream: true,
			FirstToken: api.Duration(arrival.FirstToken), TokenInterval: api.Duration(arrival.TokenInterval),
		},
	}, nil
}

func summarize(timings []model.Timing) Summary {
	var summary Summary
	var first, intervals []time.Duration
	for _, timing := range timings {
		switch {
		case timing.Answered:
			summary.Answered++
			first, intervals = append(first, timing.FirstToken), append(intervals, timing.Interval)
			if timing.FirstToken <= firstToken && timing.Interval <= tokenInterval {
				summary.Goodput++
			}
		case timing.Rejected:
			summary.Rejected++
		}
	}
	total := float64(max(len(timings), 1))
	summary.Answered, summary.Rejected, summary.Goodput = summary.Answered/total, summary.Rejected/total, summary.Goodput/total
	summary.TTFTMedian, summary.TTFTP95, summary.IntervalP95 = quantile.Of(first, 0.5), quantile.P95(first), quantile.P95(intervals)
	return summary
}
