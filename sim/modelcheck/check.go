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

// Properties of the engines on both sides.
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
	readyLimit      = time.Minute
	meanOutput      = 80
	tokensPerSecond = float64(decodeEngines*slots) * float64(time.Second) / float64(stepTime)
)

// Options describe one comparison.
type Options struct {
	Seed uint64
	// Load is one when the decode engines are full on average.
	Load float64
	// Requests is the length of the trace.
	Requests int
}

// Side is what one side made of the trace. Times are in seconds.
type Side struct {
	Answered    float64 `json:"answered"`
	Refused     float64 `json:"refused"`
	Goodput     float64 `json:"goodput"`
	TTFTMedian  float64 `json:"ttft_median_s"`
	TTFTP95     float64 `json:"ttft_p95_s"`
	IntervalP95 float64 `json:"tbt_p95_s"`
}

// Report compares both sides.
type Report struct {
	Load    float64 `json:"load"`
	Seed    uint64  `json:"seed"`
	Model   Side    `json:"model"`
	Engines Side    `json:"engines"`
}

// Check plays one trace on both sides.
func Check(ctx context.Context, options Options) (*Report, error) {
	trace := newTrace(options)
	engines, err := playOnEngines(ctx, trace)
	if err != nil {
		return nil, err
	}
	modelled := model.RunTrace(parameters(), prefillEngines, trace)
	return &Report{Load: options.Load, Seed: options.Seed, Model: summarize(modelled), Engines: summarize(engines)}, nil
}

func newTrace(options Options) []model.Arrival {
	const stream = 11
	random := rand.New(rand.NewPCG(options.Seed, stream))
	rate := tokensPerSecond / meanOutput * options.Load
	trace := make([]model.Arrival, options.Requests)
	at := time.Duration(0)
	for i := range trace {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		const fewestPrompt, promptSpread, fewestOutput, outputSpread = 500, 3500, 40, 81
		trace[i] = model.Arrival{
			At: at, Tenant: fmt.Sprintf("tenant-%d", random.IntN(tenants)), PromptTokens: fewestPrompt + random.IntN(promptSpread),
			OutputTokens: fewestOutput + random.IntN(outputSpread), FirstToken: firstToken, TokenInterval: tokenInterval,
		}
	}
	return trace
}

// parameters are the stand-in engine's properties in the model's terms.
func parameters() model.Parameters {
	same := model.DefaultParameters()
	same.PrefillTokensPerSecond, same.PrefillOverhead = prefillRate, 0
	same.Step = scheduler.StepModel{Base: stepTime / 2, PerRequest: stepTime / 2 / slots}
	same.Slots, same.KVTokens, same.LinkTokensPerSecond = slots, api.DefaultKVTokens, linkRate
	same.DecodeEngines, same.StallShare, same.HangUpShare = decodeEngines, 0, 0
	same.Hold = api.DefaultHold
	return same
}

// fleetOptions are the same properties for nodes and stand-in engines.
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

func playOnEngines(ctx context.Context, trace []model.Arrival) ([]model.Timing, error) {
	fleet, err := rehearsal.NewFleet(ctx, fleetOptions())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	fleet.StartAll()
	if !fleet.WaitReady(readyLimit) {
		return nil, errors.New("modelcheck: fleet is not ready")
	}
	timings := make([]model.Timing, len(trace))
	began := time.Now()
	var running sync.WaitGroup
	for i, arrival := range trace {
		call, err := callOf(fleet, i, arrival)
		if err != nil {
			return nil, err
		}
		time.Sleep(arrival.At - time.Since(began))
		running.Add(1)
		go func() {
			defer running.Done()
			result := load.Send(ctx, call)
			timings[i] = model.Timing{
				Answered: result.Ending == load.EndingAnswered, Refused: result.Ending == load.EndingRefused,
				FirstToken: result.FirstToken, Interval: result.Interval,
			}
		}()
	}
	running.Wait()
	return timings, nil
}

func callOf(fleet *rehearsal.Fleet, index int, arrival model.Arrival) (load.Call, error) {
	key, err := uuid.NewV7()
	if err != nil {
		return load.Call{}, errors.Wrap(err, "make key")
	}
	var tenant int
	if _, err := fmt.Sscanf(arrival.Tenant, "tenant-%d", &tenant); err != nil {
		return load.Call{}, errors.Wrap(err, "read tenant")
	}
	// Every prompt begins with its own number, so that none is cached.
	const word = "tok "
	text := fmt.Sprintf("%-*d", len(word), index) + strings.Repeat(word, arrival.PromptTokens-1)
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

func summarize(timings []model.Timing) Side {
	var side Side
	var first, intervals []time.Duration
	for _, timing := range timings {
		switch {
		case timing.Answered:
			side.Answered++
			first, intervals = append(first, timing.FirstToken), append(intervals, timing.Interval)
			if timing.FirstToken <= firstToken && timing.Interval <= tokenInterval {
				side.Goodput++
			}
		case timing.Refused:
			side.Refused++
		}
	}
	count := float64(max(len(timings), 1))
	side.Answered, side.Refused, side.Goodput = side.Answered/count, side.Refused/count, side.Goodput/count
	side.TTFTMedian, side.TTFTP95, side.IntervalP95 = quantile.Of(first, 0.5), quantile.P95(first), quantile.P95(intervals)
	return side
}
