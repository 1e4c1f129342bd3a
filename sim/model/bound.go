package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// boundWindow is the length of the windows in which the bound counts.
const boundWindow = 5 * time.Second

// Bound returns a share of requests that no policy can exceed. It knows
// everything beforehand, has no transfers and no queue per engine, caches every
// shared prefix, and serves the cheapest requests first: in each window it counts
// how many of the arrivals the pooled prefill engines could finish by the last
// deadline, and over the whole run how many the prefill and the decode engines
// could serve at their best rate.
func Bound(options Options) (float64, error) {
	mix, err := findWorkload(options.Workload)
	if err != nil {
		return 0, err
	}
	const requestStream = 1
	parameters := options.Parameters
	rate, prefills := capacity(mix, parameters)
	jobs := mix.generate(rand.New(rand.NewPCG(options.Seed, requestStream)), rate*options.Load, options.Length, options.Flood)
	prefillRate := float64(prefills)
	var all, decodeWork []float64
	windows := map[time.Duration][]float64{}
	slackest := time.Duration(0)
	for _, j := range jobs {
		cost := float64(j.prompt-min(j.kind.shared, j.prompt))/parameters.PrefillTokensPerSecond + parameters.PrefillOverhead.Seconds()
		all = append(all, cost)
		windows[j.arrival/boundWindow] = append(windows[j.arrival/boundWindow], cost)
		slackest = max(slackest, j.kind.firstToken)
		decodeTokens := 0.0
		if j.kind.maxOutput > 1 {
			decodeTokens = float64(j.output)
		}
		decodeWork = append(decodeWork, decodeTokens)
	}
	inWindows := 0
	for _, costs := range windows {
		inWindows += countWithin(costs, prefillRate*(boundWindow+slackest).Seconds())
	}
	horizon := (options.Length + slackest).Seconds()
	step := parameters.Step.Time(parameters.Slots, 0).Seconds()
	decodeRate := float64(parameters.DecodeEngines*parameters.Slots) / step
	// An answer may go on for as long as its interval target allows.
	const longest = longestOutput
	decodeHorizon := horizon + longest*mix.kinds[len(mix.kinds)-1].tokenInterval.Seconds()
	best := min(inWindows, countWithin(all, prefillRate*horizon), countWithin(decodeWork, decodeRate*decodeHorizon))
	return round(float64(best) / float64(max(len(jobs), 1))), nil
}

// countWithin returns how many of the cheapest costs fit into a capacity.
func countWithin(costs []float64, capacity float64) int {
	sorted := slices.Clone(costs)
	slices.Sort(sorted)
	for i, cost := range sorted {
		capacity -= cost
		if capacity < 0 {
			return i
		}
	}
	return len(sorted)
}
