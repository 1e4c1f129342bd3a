package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// requestKind describes one kind of request. Ranges are inclusive, in tokens.
type requestKind struct {
	name          string
	share         float64
	promptRange   [2]int
	sharedTokens  int
	outputRange   [2]int
	maxOutput     int
	firstToken    time.Duration
	tokenInterval time.Duration
}

// workload is a mix of request kinds and tenants.
type workload struct {
	name    string
	tenants int
	// zipf is the exponent of the Zipf distribution of requests over tenants.
	zipf  float64
	kinds []requestKind
	// laterKinds, if set, replaces kinds in the second half of a run.
	laterKinds []requestKind
}

const second = time.Second

// fisioXela and amrc are the workloads of the supported deployments, with the request kinds that
// reach a model. The latency targets are those of the example configurations.
var (
	fisioXela = workload{name: "fisio-xela", tenants: 24, zipf: 0.8, kinds: []requestKind{
		{"triage", 0.4, [2]int{1000, 10000}, 300, [2]int{1, 1}, 1, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"plan-draft", 0.6, [2]int{300, 3000}, 250, [2]int{60, 320}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
	}}
	amrc = workload{name: "amrc", tenants: 24, zipf: 0.8, kinds: []requestKind{
		{"fault-class", 0.35, [2]int{2000, 20000}, 200, [2]int{1, 1}, 1, 2 * second, 50 * time.Millisecond},
		{"valve-question", 0.65, [2]int{60, 1200}, 64, [2]int{40, 260}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
	}}
	fleetMix = workload{name: "fleet", tenants: 13000, zipf: 1.0, kinds: []requestKind{
		{"short-answer", 0.25, [2]int{500, 12000}, 256, [2]int{1, 1}, 1, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"chat", 0.55, [2]int{40, 3000}, 128, [2]int{20, 350}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"document", 0.2, [2]int{3000, 24000}, 512, [2]int{50, 300}, 400, 3 * second, 50 * time.Millisecond},
	}}
)

// shift is fisio-xela with mostly triage checks in the first half of a run, which need more prefill
// engines than there are, and mostly drafts in the second half, which need more decode engines. The
// engines are provisioned for the mean of both halves.
var shift = workload{
	name: "shift", tenants: fisioXela.tenants, zipf: fisioXela.zipf,
	kinds: withShares(fisioXela.kinds, 0.65, 0.35), laterKinds: withShares(fisioXela.kinds, 0.15, 0.85),
}

func withShares(kinds []requestKind, shares ...float64) []requestKind {
	changed := slices.Clone(kinds)
	for i, share := range shares {
		changed[i].share = share
	}
	return changed
}

// Workloads returns the names of the workloads on which policies are compared.
func Workloads() []string { return []string{fisioXela.name, amrc.name, fleetMix.name} }

func findWorkload(name string) (workload, error) {
	for _, known := range []workload{fisioXela, amrc, fleetMix, shift} {
		if known.name == name {
			return known, nil
		}
	}
	return workload{}, errors.Newf("unknown workload %q", name)
}

// means returns two means over all requests of the mix, in tokens: uncached is the number of tokens
// to prefill when the shared prefix is cached, and decodeTokens the length of the output that a
// decode engine generates, which is zero for requests that end with their prefill.
func (w workload) means() (uncached, decodeTokens float64) {
	if len(w.laterKinds) > 0 {
		firstUncached, firstDecode := workload{kinds: w.kinds}.means()
		laterUncached, laterDecode := workload{kinds: w.laterKinds}.means()
		return (firstUncached + laterUncached) / 2, (firstDecode + laterDecode) / 2
	}
	for _, k := range w.kinds {
		prompt := float64(k.promptRange[0]+k.promptRange[1]) / 2
		uncached += k.share * (prompt - float64(k.sharedTokens))
		if k.maxOutput > 1 {
			decodeTokens += k.share * float64(k.outputRange[0]+k.outputRange[1]) / 2
		}
	}
	return uncached, decodeTokens
}

// job is one request with the properties that only the simulation knows, such as its
// output length.
type job struct {
	id          int
	kind        *requestKind
	tenant      string
	flood       bool
	arrival     time.Duration
	prompt      int
	output      int
	blocks      []uint64
	disconnects bool

	state jobState
}

// drawTenant returns the number of a random tenant, weighted by the Zipf distribution.
func (w workload) drawTenant(random *rand.Rand, cumulative []float64) int {
	value := random.Float64() * cumulative[len(cumulative)-1]
	at, _ := slices.BinarySearch(cumulative, value)
	return min(at, w.tenants-1)
}

func (w workload) cumulativeWeights() []float64 {
	cumulative := make([]float64, w.tenants)
	total := 0.0
	for i := range cumulative {
		total += 1 / math.Pow(float64(i+1), w.zipf)
		cumulative[i] = total
	}
	return cumulative
}

// Shape of the arrivals over a run: a diurnal cycle, bursts, and a flooding tenant between
// floodStart and floodEnd, as fractions of the run. floodLoad is the flooding tenant's request rate
// as a share of the mean rate, and longestOutput the largest maxOutput of all request kinds, in
// tokens.
const (
	diurnalAmplitude = 0.25
	burstShare       = 0.15
	burstPeriod      = 20 * time.Second
	burstLength      = 3 * time.Second
	floodTenant      = "flood"
	floodStart       = 0.4
	floodEnd         = 0.7
	floodLoad        = 0.6
	longestOutput    = 400
)

// rateAt returns the arrival rate at a time, relative to a mean of one.
func rateAt(at, length time.Duration) float64 {
	diurnal := 1 + diurnalAmplitude*math.Sin(2*math.Pi*(float64(at)/float64(length)-0.25))
	// A burst raises the rate by burstShare; dividing by the mean keeps it at one.
	mean := 1 + burstShare*float64(burstLength)/float64(burstPeriod)
	if at%burstPeriod < burstLength {
		return diurnal * (1 + burstShare) / mean
	}
	return diurnal / mean
}

// generate returns the requests of a run in order of arrival.
func (w workload) generate(random *rand.Rand, rate float64, length time.Duration, flood bool) []*job {
	cumulative := w.cumulativeWeights()
	var jobs []*job
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (rate * rateAt(at, length)) * float64(second))
		if at >= length {
			break
		}
		tenant := fmt.Sprintf("tenant-%d", w.drawTenant(random, cumulative))
		jobs = append(jobs, w.at(at, length).newJob(random, tenant, at))
	}
	if flood {
		start, end := time.Duration(floodStart*float64(length)), time.Duration(floodEnd*float64(length))
		for at := start; at < end; at += time.Duration(random.ExpFloat64() / (rate * floodLoad) * float64(second)) {
			added := w.newJob(random, floodTenant, at)
			added.flood = true
			jobs = append(jobs, added)
		}
		slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.arrival - b.arrival) })
	}
	for i, created := range jobs {
		created.id = i
	}
	return jobs
}

// at returns the workload that applies at a time of a run.
func (w workload) at(at, length time.Duration) workload {
	if len(w.laterKinds) > 0 && at >= length/2 {
		w.kinds = w.laterKinds
	}
	return w
}

func (w workload) newJob(random *rand.Rand, tenant string, at time.Duration) *job {
	value := random.Float64()
	chosen := &w.kinds[len(w.kinds)-1]
	for i := range w.kinds {
		if value < w.kinds[i].share {
			chosen = &w.kinds[i]
			break
		}
		value -= w.kinds[i].share
	}
	uniform := func(bounds [2]int) int { return bounds[0] + random.IntN(bounds[1]-bounds[0]+1) }
	created := &job{kind: chosen, tenant: tenant, arrival: at, prompt: uniform(chosen.promptRange), output: uniform(chosen.outputRange)}
	created.blocks = promptBlocks(random, tenant, chosen, created.prompt)
	return created
}
