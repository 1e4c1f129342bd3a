package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/scheduler"
)

// router assigns jobs to engines.
type router interface {
	submit(j *job)
	// prefillDone reports that a prefill result is held; the router chooses its decode
	// engine.
	prefillDone(j *job)
	// attemptFailed reports that a job lost its engine or its prefill result and must
	// start again.
	attemptFailed(j *job)
	finished(j *job)
	// capacityChanged reports that capacity may have become free.
	capacityChanged()
	blocksEvicted(engine int, blocks []uint64)
	engineDown(decode int)
	engineUp(decode int)
	jobs() []*job
}

// Policies returns the names of the compared policies. The last is the router's
// policy.
func Policies() []string {
	return []string{"random", "round-robin", "least-loaded", "power-of-two", "prefix-affinity", "vtc", "reelrun"}
}

// Ablations returns the names of the variants of the router's policy, the unchanged
// one first.
func Ablations() []string {
	names := make([]string, len(ablations))
	for i, variant := range ablations {
		names[i] = variant.name
	}
	return names
}

type ablation struct {
	name    string
	options scheduler.Options
	// changesRoles lets engines change their role depending on the load.
	changesRoles bool
}

// ablations change one part of the router's policy each.
var ablations = []ablation{
	{name: "reelrun"},
	{name: "reelrun-changes-roles", changesRoles: true},
	{name: "reelrun-no-admission", options: scheduler.Options{NoAdmission: true}},
	{name: "reelrun-no-affinity", options: scheduler.Options{NoAffinity: true}},
	{name: "reelrun-no-batch-limit", options: scheduler.Options{NoBatchLimit: true}},
	{name: "reelrun-reserve-at-grant", options: scheduler.Options{Reservation: scheduler.ReserveAtGrant}},
	{name: "reelrun-prefill-first", options: scheduler.Options{Reservation: scheduler.ReserveNone}},
	{name: "reelrun-vtc-order", options: scheduler.Options{Ordering: scheduler.OrderVTC}},
	{name: "reelrun-arrival-order", options: scheduler.Options{Ordering: scheduler.OrderArrival}},
	{name: "reelrun-deadline-order", options: scheduler.Options{Ordering: scheduler.OrderDeadline}},
	{name: "reelrun-no-forecast", options: scheduler.Options{NoForecast: true}},
	{name: "reelrun-ahead-0.25", options: scheduler.Options{AheadShare: 0.25}},
	{name: "reelrun-ahead-0.75", options: scheduler.Options{AheadShare: 0.75}},
	{name: "reelrun-quantum-16k", options: scheduler.Options{Quantum: 16384}},
	{name: "reelrun-quantum-64k", options: scheduler.Options{Quantum: 65536}},
	{name: "reelrun-quantum-256k", options: scheduler.Options{Quantum: 262144}},
	{name: "reelrun-stretch-0", options: scheduler.Options{Stretch: 0.001}},
	{name: "reelrun-stretch-1", options: scheduler.Options{Stretch: 1}},
	{name: "reelrun-stretch-2", options: scheduler.Options{Stretch: 2}},
	{name: "reelrun-stretch-8", options: scheduler.Options{Stretch: 8}},
	{name: "reelrun-early-binding", options: scheduler.Options{MaxBacklog: 500 * time.Millisecond}},
}

func newRouter(name string, s *simulation, jobs []*job, random *rand.Rand) (router, error) {
	for _, variant := range ablations {
		if variant.name == name {
			poolRouter := newPoolRouter(s, jobs, variant.options)
			if variant.changesRoles {
				newRoleChanger(poolRouter).start()
			}
			return poolRouter, nil
		}
	}
	if name == "vtc" {
		return newPoolRouter(s, jobs, scheduler.Options{
			Ordering: scheduler.OrderVTC, NoAdmission: true, NoAffinity: true, NoBatchLimit: true, Reservation: scheduler.ReserveNone,
		}), nil
	}
	choices := map[string]engineChooser{
		"random": chooseRandom, "round-robin": chooseRoundRobin, "least-loaded": chooseLeastLoaded,
		"power-of-two": choosePowerOfTwo, "prefix-affinity": choosePrefixAffinity,
	}
	choose, ok := choices[name]
	if !ok {
		return nil, errors.Newf("unknown policy %q", name)
	}
	return newIndependentRouter(s, jobs, choose, random), nil
}

// poolRouter assigns jobs by a scheduler.Pool, as the owner of a pool does.
type poolRouter struct {
	simulation     *simulation
	allJobs        []*job
	pool           *scheduler.Pool
	byID           map[string]*job
	requests       map[*job]*scheduler.Request
	recheckPending bool
}

func prefillName(engine int) string { return "p" + strconv.Itoa(engine) }
func decodeName(engine int) string  { return "d" + strconv.Itoa(engine) }

func engineIndex(name string) int {
	number, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err) // All names come from prefillName and decodeName.
	}
	return number
}

func newPoolRouter(s *simulation, jobs []*job, options scheduler.Options) *poolRouter {
	p := &poolRouter{
		simulation: s, allJobs: jobs, pool: scheduler.NewPool(options, s.parameters.LinkTokensPerSecond),
		byID: map[string]*job{}, requests: map[*job]*scheduler.Request{},
	}
	p.setEngines()
	return p
}

// setEngines passes the engines of each role to the pool.
func (p *poolRouter) setEngines() {
	s := p.simulation
	var prefill []scheduler.PrefillState
	for i, engine := range s.prefills {
		if !engine.removed {
			prefill = append(prefill, scheduler.PrefillState{Name: prefillName(i), Ready: true, TokensPerSecond: s.parameters.PrefillTokensPerSecond})
		}
	}
	var decode []scheduler.DecodeState
	for i, engine := range s.decodes {
		if !engine.removed {
			decode = append(decode, scheduler.DecodeState{Name: decodeName(i), Ready: true, Slots: s.parameters.Slots, KVTokens: s.parameters.KVTokens, Step: s.parameters.Step})
		}
	}
	p.pool.SetEngines(prefill, decode)
}

func (p *poolRouter) jobs() []*job { return p.allJobs }

func (p *poolRouter) submit(j *job) {
	request := &scheduler.Request{
		ID: strconv.Itoa(j.id) + "/" + strconv.Itoa(j.state.attempt), Tenant: j.tenant, Weight: 1, Arrival: j.arrival,
		PromptTokens: j.prompt, MaxTokens: j.kind.maxOutput, FirstToken: j.kind.firstToken, TokenInterval: j.kind.tokenInterval,
		Prefixes: j.blocks, LateAllowed: j.state.outputTokens > 0,
	}
	p.byID[request.ID], p.requests[j] = j, request
	if rejected := p.pool.Submit(p.simulation.Now(), request); rejected != nil {
		p.reject(j)
		return
	}
	p.capacityChanged()
}

func (p *poolRouter) reject(j *job) {
	p.untrack(j)
	p.simulation.reject(j)
}

func (p *poolRouter) untrack(j *job) {
	if request, ok := p.requests[j]; ok {
		delete(p.byID, request.ID)
		delete(p.requests, j)
	}
}

func (p *poolRouter) prefillDone(j *job) {
	p.pool.PrefillDone(p.simulation.Now(), p.requests[j].ID)
	p.capacityChanged()
}

func (p *poolRouter) attemptFailed(j *job) {
	p.release(j, -1)
	p.submit(j)
}

func (p *poolRouter) release(j *job, tokens int) {
	request, ok := p.requests[j]
	if !ok {
		return
	}
	if !p.pool.Withdraw(request) {
		p.pool.Finished(p.simulation.Now(), request.ID, tokens)
	}
	p.untrack(j)
}

func (p *poolRouter) finished(j *job) {
	tokens := -1
	if j.state.answered {
		tokens = j.state.outputTokens
	}
	p.release(j, tokens)
}

// capacityChanged carries out the scheduler's decisions, and schedules a recheck while
// requests wait.
func (p *poolRouter) capacityChanged() {
	for _, decision := range p.pool.Schedule(p.simulation.Now()) {
		j := p.byID[decision.RequestID]
		switch decision.Kind {
		case scheduler.KindPrefill:
			p.simulation.enqueuePrefill(j, engineIndex(decision.Prefill))
		case scheduler.KindDecode:
			p.simulation.enqueueDecode(j, engineIndex(decision.Decode))
		case scheduler.KindReject:
			p.reject(j)
		default:
		}
	}
	if p.pool.Waiting() > 0 && !p.recheckPending {
		p.recheckPending = true
		p.simulation.After(scheduler.RecheckInterval, func() {
			p.recheckPending = false
			p.capacityChanged()
		})
	}
}

func (p *poolRouter) blocksEvicted(engine int, blocks []uint64) {
	for _, block := range blocks {
		p.pool.Index().Evict(prefillName(engine), block)
	}
}

func (p *poolRouter) engineDown(decode int) { p.pool.SetReady(decodeName(decode), false) }
func (p *poolRouter) engineUp(decode int)   { p.pool.SetReady(decodeName(decode), true) }

// loadReport is a snapshot of the engines' load. An independent router sees it only
// after Parameters.LoadLag.
type loadReport struct {
	queuedTokens []int
	slotsInUse   []int
	decodeDown   []bool
}

// engineChooser selects a prefill and a decode engine for a job.
type engineChooser func(p *independentRouter, j *job) (prefill, decode int)

// independentRouter assigns each request on arrival, based on delayed load reports. It
// has no queue and rejects no request.
type independentRouter struct {
	simulation *simulation
	allJobs    []*job
	choose     engineChooser
	random     *rand.Rand
	lastReport loadReport
	nextEngine int
	index      *scheduler.PrefixIndex
}

func newIndependentRouter(s *simulation, jobs []*job, choose engineChooser, random *rand.Rand) *independentRouter {
	p := &independentRouter{simulation: s, allJobs: jobs, choose: choose, random: random, index: scheduler.NewPrefixIndex()}
	p.lastReport = loadReport{queuedTokens: make([]int, len(s.prefills)), slotsInUse: make([]int, len(s.decodes)), decodeDown: make([]bool, len(s.decodes))}
	p.report()
	return p
}

// report takes a load snapshot, makes it visible after Parameters.LoadLag, and then
// takes the next one.
func (p *independentRouter) report() {
	s := p.simulation
	current := loadReport{queuedTokens: make([]int, len(s.prefills)), slotsInUse: make([]int, len(s.decodes)), decodeDown: make([]bool, len(s.decodes))}
	for i, engine := range s.prefills {
		current.queuedTokens[i] = engine.queuedTokens
	}
	for i, engine := range s.decodes {
		current.slotsInUse[i] = engine.slotsUsed() + len(engine.waiting)
		current.decodeDown[i] = !engine.available
	}
	s.After(s.parameters.LoadLag, func() {
		p.lastReport = current
		p.report()
	})
}

func (p *independentRouter) jobs() []*job { return p.allJobs }

func (p *independentRouter) submit(j *job) {
	prefill, decode := p.choose(p, j)
	j.state.decodeEngine = decode
	p.index.Store(prefillName(prefill), j.blocks)
	p.simulation.enqueuePrefill(j, prefill)
}

func (p *independentRouter) prefillDone(j *job) {
	p.simulation.enqueueDecode(j, j.state.decodeEngine)
}
func (p *independentRouter) attemptFailed(j *job) { p.submit(j) }
func (p *independentRouter) finished(*job)        {}
func (p *independentRouter) capacityChanged()     {}
func (p *independentRouter) engineDown(int)       {}
func (p *independentRouter) engineUp(int)         {}
func (p *independentRouter) blocksEvicted(engine int, blocks []uint64) {
	for _, block := range blocks {
		p.index.Evict(prefillName(engine), block)
	}
}

func chooseRandom(p *independentRouter, _ *job) (int, int) {
	return p.random.IntN(len(p.lastReport.queuedTokens)), p.random.IntN(len(p.lastReport.slotsInUse))
}

func chooseRoundRobin(p *independentRouter, _ *job) (int, int) {
	p.nextEngine++
	return p.nextEngine % len(p.lastReport.queuedTokens), p.nextEngine % len(p.lastReport.slotsInUse)
}

func chooseLeastLoaded(p *independentRouter, _ *job) (int, int) {
	return leastLoaded(p.lastReport.queuedTokens, nil, p.random), leastLoaded(p.lastReport.slotsInUse, p.lastReport.decodeDown, p.random)
}

// leastLoaded returns the index of the smallest value. Ties are broken at random.
func leastLoaded(values []int, skip []bool, random *rand.Rand) int {
	best, ties := -1, 0
	for i, value := range values {
		if skip != nil && skip[i] {
			continue
		}
		switch {
		case best < 0 || value < values[best]:
			best, ties = i, 1
		case value == values[best]:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return max(best, 0)
}

func choosePowerOfTwo(p *independentRouter, _ *job) (int, int) {
	lessLoaded := func(values []int) int {
		first, second := p.random.IntN(len(values)), p.random.IntN(len(values))
		if values[second] < values[first] {
			return second
		}
		return first
	}
	return lessLoaded(p.lastReport.queuedTokens), lessLoaded(p.lastReport.slotsInUse)
}

// choosePrefixAffinity selects the prefill engine with the longest cached prefix, as a
// locality-aware router does, and the least loaded one if no engine has a prefix
// cached.
func choosePrefixAffinity(p *independentRouter, j *job) (int, int) {
	best, longest := -1, 0
	for i := range p.lastReport.queuedTokens {
		if cached := p.index.CachedTokens(prefillName(i), j.blocks); cached > longest {
			best, longest = i, cached
		}
	}
	prefill, decode := chooseLeastLoaded(p, j)
	if best >= 0 {
		prefill = best
	}
	return prefill, decode
}
