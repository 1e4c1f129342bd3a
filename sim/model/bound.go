package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// boundWindow is the length of the windows for which the bound counts arrivals.
const boundWindow = 5 * time.Second

// Bound returns an upper bound on the goodput of any policy. It assumes full
// knowledge of the requests in advance, no transfers, no queue per engine, a cache
// hit on every shared prefix, and that the cheapest requests are served first. For
// each window it counts how many arrivals the prefill engines together could finish
// by the last deadline, and for the whole run how many requests the prefill and the
// decode engines could serve at their maximum rate.
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
	var prefillCosts, decodeCosts []float64
	windows := map[time.Duration][]float64{}
	maxFirstTokenTarget := time.Duration(0)
	for _, j := range jobs {
		cost := float64(j.prompt-min(j.kind.sharedTokens, j.prompt))/parameters.PrefillTokensPerSecond + parameters.PrefillOverhead.Seconds()
		prefillCosts = append(prefillCosts, cost)
		windows[j.arrival/boundWindow] = append(windows[j.arrival/boundWindow], cost)
		maxFirstTokenTarget = max(maxFirstTokenTarget, j.kind.firstToken)
		decodeTokens := 0.0
		if j.kind.maxOutput > 1 {
			decodeTokens = float64(j.output)
		}
		decodeCosts = append(decodeCosts, decodeTokens)
	}
	inWindows := 0
	for _, costs := range windows {
		inWindows += countWithin(costs, prefillRate*(boundWindow+maxFirstTokenTarget).Seconds())
	}
	horizon := (options.Length + maxFirstTokenTarget).Seconds()
	step := parameters.Step.Time(parameters.Slots, 0).Seconds()
	decodeRate := float64(parameters.DecodeEngines*parameters.Slots) / step
	// Decoding an output can take as long as the token interval target allows.
	const longest = longestOutput
	decodeHorizon := horizon + longest*mix.kinds[len(mix.kinds)-1].tokenInterval.Seconds()
	best := min(inWindows, countWithin(prefillCosts, prefillRate*horizon), countWithin(decodeCosts, decodeRate*decodeHorizon))
	return round(float64(best) / float64(max(len(jobs), 1))), nil
}

// countWithin returns how many costs, taken in ascending order, fit into a capacity.
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
