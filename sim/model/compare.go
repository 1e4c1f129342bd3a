package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/reelrun/reelrun/sim/quantile"
)

// Options configure one run or comparison.
type Options struct {
	Workload string
	Seed     uint64
	// Load is the offered load; 1 fills the decode pool on average.
	Load float64
	// Policy is the name of the policy.
	Policy string
	// Length is the virtual time over which requests arrive.
	Length time.Duration
	// Flood adds one tenant with excessive load, and Fail makes a decode engine
	// unavailable for failTime at the peak.
	Flood bool
	Fail  bool
	// Parameters describe the engines.
	Parameters Parameters
}

// Outcome is the result of one policy on one workload.
type Outcome struct {
	Workload string  `json:"workload"`
	Seed     uint64  `json:"seed"`
	Load     float64 `json:"load"`
	Policy   string  `json:"policy"`
	// Goodput is the share of offered requests that met both latency targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the share of prefilled tokens whose result was never used.
	WastedPrefill float64 `json:"wasted_prefill"`
	// Rejected is the share of offered requests that were rejected, and Late the share of those
	// that missed a target for any other reason.
	Rejected float64 `json:"refused"`
	Late     float64 `json:"late"`
	// Jain is Jain's fairness index of the tenants' goodput.
	Jain float64 `json:"jain"`
	// TTFTP95 and TBTP95 are the 95th percentiles, in seconds, of the time to the first token and
	// of the mean time between the tokens of a request.
	TTFTP95 float64 `json:"ttft_p95_s"`
	TBTP95  float64 `json:"tbt_p95_s"`
	// VictimGoodput is the goodput of all tenants except the flooding one.
	VictimGoodput float64 `json:"victim_goodput"`
	Offered       int     `json:"offered"`
}

// failTime is how long a failed decode engine is unavailable.
const failTime = 20 * time.Second

// Run simulates one policy on one workload.
func Run(options Options) (Outcome, error) {
	s, jobs, err := newSimulation(options)
	if err != nil {
		return Outcome{}, err
	}
	s.RunUntil(options.Length + settleTime)
	return s.outcome(jobs, options), nil
}

// settleTime is how long a run continues after the last arrival.
const settleTime = 60 * time.Second

// newSimulation creates the engines and the requests of a run and schedules its
// initial events.
func newSimulation(options Options) (*simulation, []*job, error) {
	mix, err := findWorkload(options.Workload)
	if err != nil {
		return nil, nil, err
	}
	// The requests are drawn from a separate random stream, so that they are the same for all
	// policies.
	const requestStream, engineStream, policyStream = 1, 2, 3
	parameters := options.Parameters
	rate, prefills := capacity(mix, parameters)
	jobs := mix.generate(rand.New(rand.NewPCG(options.Seed, requestStream)), rate*options.Load, options.Length, options.Flood)
	engineRandom := rand.New(rand.NewPCG(options.Seed, engineStream))
	for _, j := range jobs {
		j.disconnects = j.kind.maxOutput > 1 && engineRandom.Float64() < parameters.DisconnectShare
	}
	s := &simulation{
		parameters:     parameters,
		transferStalls: func() bool { return engineRandom.Float64() < parameters.StallShare },
		eventLost:      func() bool { return engineRandom.Float64() < parameters.EventLossShare },
	}
	for range prefills {
		s.prefills = append(s.prefills, &prefillEngine{cache: newPrefixCache(parameters.CacheBlocks)})
	}
	for range parameters.DecodeEngines {
		s.decodes = append(s.decodes, &decodeEngine{available: true})
	}
	s.router, err = newRouter(options.Policy, s, jobs, rand.New(rand.NewPCG(options.Seed, policyStream)))
	if err != nil {
		return nil, nil, err
	}
	s.schedule(jobs, options)
	return s, jobs, nil
}

// schedule adds the events of arrivals, of callers that give up waiting, and of the
// engine failure.
func (s *simulation) schedule(jobs []*job, options Options) {
	for _, j := range jobs {
		s.After(j.arrival, func() {
			patience := time.Duration(s.parameters.Patience * float64(j.kind.firstToken))
			s.After(patience, func() { s.abandon(j) })
			s.router.submit(j)
		})
	}
	if options.Fail {
		s.After(options.Length/2, func() { s.failDecodeEngine(0, failTime) })
	}
}

// capacity returns the request rate per second at which the decode pool is full on
// average, and the number of prefill engines that have the target utilization at
// that rate.
func capacity(mix workload, parameters Parameters) (rate float64, prefills int) {
	uncached, decodeTokens := mix.means()
	const typicalContext = 1500
	step := parameters.Step.Time(parameters.Slots, parameters.Slots*typicalContext)
	tokensPerSecond := float64(parameters.DecodeEngines*parameters.Slots) / step.Seconds()
	rate = tokensPerSecond / decodeTokens
	work := rate * (uncached/parameters.PrefillTokensPerSecond + parameters.PrefillOverhead.Seconds())
	return rate, int(math.Ceil(work / parameters.PrefillUtilization))
}

// meetsTargets reports whether a job met both latency targets.
func (j *job) meetsTargets() bool {
	if !j.state.answered || j.state.firstTokenAt-j.arrival > j.kind.firstToken {
		return false
	}
	return j.state.outputTokens < 2 || j.interval() <= j.kind.tokenInterval
}

func (j *job) interval() time.Duration {
	return (j.state.lastTokenAt - j.state.firstTokenAt) / time.Duration(max(j.state.outputTokens-1, 1))
}

func (s *simulation) outcome(jobs []*job, options Options) Outcome {
	result := Outcome{Workload: options.Workload, Seed: options.Seed, Load: options.Load, Policy: options.Policy}
	var firstTokens, intervals []time.Duration
	met, rejected, late, victimsOffered, victimsMet := 0, 0, 0, 0, 0
	offeredBy, metBy := map[string]float64{}, map[string]float64{}
	for _, j := range jobs {
		if j.disconnects {
			continue // The caller disconnects whatever the policy does, so it is not counted.
		}
		result.Offered++
		offeredBy[j.tenant]++
		if !j.flood {
			victimsOffered++
		}
		switch {
		case j.meetsTargets():
			met++
			metBy[j.tenant]++
			if !j.flood {
				victimsMet++
			}
		case j.state.rejected:
			rejected++
		default:
			late++
		}
		if j.state.answered {
			firstTokens = append(firstTokens, j.state.firstTokenAt-j.arrival)
			if j.state.outputTokens > 1 {
				intervals = append(intervals, j.interval())
			}
		}
	}
	offered := float64(max(result.Offered, 1))
	result.Goodput = round(float64(met) / offered)
	result.Rejected = round(float64(rejected) / offered)
	result.Late = round(float64(late) / offered)
	result.VictimGoodput = round(float64(victimsMet) / float64(max(victimsOffered, 1)))
	result.WastedPrefill = round(float64(s.wastedTokens) / float64(max(s.prefilledTokens, 1)))
	result.Jain = round(jain(offeredBy, metBy))
	result.TTFTP95, result.TBTP95 = round(quantile.P95(firstTokens)), round(quantile.P95(intervals))
	return result
}

// round rounds to five decimals, so that output does not depend on the last bits of
// floating-point results.
func round(value float64) float64 {
	const scale = 1e5
	return math.Round(value*scale) / scale
}

// jain returns Jain's fairness index of the tenants' goodput. Tenants with few requests are
// omitted, because their goodput is mostly random.
func jain(offered, met map[string]float64) float64 {
	const minRequests = 20
	names := make([]string, 0, len(offered))
	for name, count := range offered {
		if count >= minRequests {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	sum, squares := 0.0, 0.0
	for _, name := range names {
		share := met[name] / offered[name]
		sum += share
		squares += share * share
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(names)) * squares)
}
