package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// kind is one kind of request.
type kind struct {
	name          string
	share         float64
	prompt        [2]int
	shared        int
	output        [2]int
	maxOutput     int
	firstToken    time.Duration
	tokenInterval time.Duration
}

// workload is a mix of kinds and tenants.
type workload struct {
	name    string
	tenants int
	// zipf is the exponent of the tenants' shares.
	zipf  float64
	kinds []kind
	// later replaces the kinds in the second half of a run, if it is set.
	later []kind
}

const second = time.Second

// fisioXela and amrc are the users' request kinds that reach a model; targets
// are those of the example configurations.
var (
	fisioXela = workload{name: "fisio-xela", tenants: 24, zipf: 0.8, kinds: []kind{
		{"triage", 0.4, [2]int{1000, 10000}, 300, [2]int{1, 1}, 1, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"plan-draft", 0.6, [2]int{300, 3000}, 250, [2]int{60, 320}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
	}}
	amrc = workload{name: "amrc", tenants: 24, zipf: 0.8, kinds: []kind{
		{"fault-class", 0.35, [2]int{2000, 20000}, 200, [2]int{1, 1}, 1, 2 * second, 50 * time.Millisecond},
		{"valve-question", 0.65, [2]int{60, 1200}, 64, [2]int{40, 260}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
	}}
	fleetMix = workload{name: "fleet", tenants: 13000, zipf: 1.0, kinds: []kind{
		{"short-answer", 0.25, [2]int{500, 12000}, 256, [2]int{1, 1}, 1, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"chat", 0.55, [2]int{40, 3000}, 128, [2]int{20, 350}, 400, 1500 * time.Millisecond, 50 * time.Millisecond},
		{"document", 0.2, [2]int{3000, 24000}, 512, [2]int{50, 300}, 400, 3 * second, 50 * time.Millisecond},
	}}
)

// shift is fisio-xela with mostly triage checks in the first half of a run, which
// is short of prefill engines, and mostly drafts in the second, which is short of
// decode engines. The engines are provisioned for its mean.
var shift = workload{
	name: "shift", tenants: fisioXela.tenants, zipf: fisioXela.zipf,
	kinds: withShares(fisioXela.kinds, 0.65, 0.35), later: withShares(fisioXela.kinds, 0.15, 0.85),
}

func withShares(kinds []kind, shares ...float64) []kind {
	changed := slices.Clone(kinds)
	for i, share := range shares {
		changed[i].share = share
	}
	return changed
}

// Workloads are the names of the workloads that policies are compared on.
func Workloads() []string { return []string{fisioXela.name, amrc.name, fleetMix.name} }

func findWorkload(name string) (workload, error) {
	for _, known := range []workload{fisioXela, amrc, fleetMix, shift} {
		if known.name == name {
			return known, nil
		}
	}
	return workload{}, errors.Newf("unknown workload %q", name)
}

// meanUncached is the mean number of tokens to prefill when the shared part is
// cached, and meanOutput the mean output of requests that reach a decode engine,
// both per request of the mix.
func (w workload) means() (uncached, decodeTokens float64) {
	if len(w.later) > 0 {
		firstUncached, firstDecode := workload{kinds: w.kinds}.means()
		laterUncached, laterDecode := workload{kinds: w.later}.means()
		return (firstUncached + laterUncached) / 2, (firstDecode + laterDecode) / 2
	}
	for _, k := range w.kinds {
		prompt := float64(k.prompt[0]+k.prompt[1]) / 2
		uncached += k.share * (prompt - float64(k.shared))
		if k.maxOutput > 1 {
			decodeTokens += k.share * float64(k.output[0]+k.output[1]) / 2
		}
	}
	return uncached, decodeTokens
}

// job is one request with what only the model knows.
type job struct {
	id      int
	kind    *kind
	tenant  string
	flood   bool
	arrival time.Duration
	prompt  int
	output  int
	blocks  []uint64
	hangUp  bool

	state run
}

// tenantOf draws a tenant by its Zipf share.
func (w workload) tenantOf(random *rand.Rand, cumulative []float64) int {
	point := random.Float64() * cumulative[len(cumulative)-1]
	at, _ := slices.BinarySearch(cumulative, point)
	return min(at, w.tenants-1)
}

func (w workload) cumulativeShares() []float64 {
	cumulative := make([]float64, w.tenants)
	total := 0.0
	for i := range cumulative {
		total += 1 / math.Pow(float64(i+1), w.zipf)
		cumulative[i] = total
	}
	return cumulative
}

// Shape of the arrivals over the run: a day's rise and fall, and bursts.
const (
	dayAmplitude  = 0.25
	burstShare    = 0.15
	burstPeriod   = 20 * time.Second
	burstLength   = 3 * time.Second
	floodTenant   = "flood"
	floodStart    = 0.4
	floodEnd      = 0.7
	floodLoad     = 0.6
	longestOutput = 400
)

// rateAt is the arrival rate at a time, for a mean rate of one.
func rateAt(at, length time.Duration) float64 {
	day := 1 + dayAmplitude*math.Sin(2*math.Pi*(float64(at)/float64(length)-0.25))
	// A burst adds its share on top; the mean stays one.
	mean := 1 + burstShare*float64(burstLength)/float64(burstPeriod)
	if at%burstPeriod < burstLength {
		return day * (1 + burstShare) / mean
	}
	return day / mean
}

// generate makes the requests of a run.
func (w workload) generate(random *rand.Rand, rate float64, length time.Duration, flood bool) []*job {
	cumulative := w.cumulativeShares()
	var jobs []*job
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / (rate * rateAt(at, length)) * float64(second))
		if at >= length {
			break
		}
		tenant := fmt.Sprintf("tenant-%d", w.tenantOf(random, cumulative))
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
	for i, made := range jobs {
		made.id = i
	}
	return jobs
}

// at is the workload as it is at a time of a run.
func (w workload) at(at, length time.Duration) workload {
	if len(w.later) > 0 && at >= length/2 {
		w.kinds = w.later
	}
	return w
}

func (w workload) newJob(random *rand.Rand, tenant string, at time.Duration) *job {
	point := random.Float64()
	chosen := &w.kinds[len(w.kinds)-1]
	for i := range w.kinds {
		if point < w.kinds[i].share {
			chosen = &w.kinds[i]
			break
		}
		point -= w.kinds[i].share
	}
	draw := func(ends [2]int) int { return ends[0] + random.IntN(ends[1]-ends[0]+1) }
	made := &job{kind: chosen, tenant: tenant, arrival: at, prompt: draw(chosen.prompt), output: draw(chosen.output)}
	made.blocks = promptBlocks(random, tenant, chosen, made.prompt)
	return made
}
