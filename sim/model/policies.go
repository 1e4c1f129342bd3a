package model

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/scheduler"
)

// router decides where jobs go.
type router interface {
	arrive(j *job)
	// prefillDone says that a result is held; the router places its decode.
	prefillDone(j *job)
	// failed says that a job lost its engine or its result and must start again.
	failed(j *job)
	finished(j *job)
	// changed says that capacity may have become free.
	changed()
	evicted(engine int, blocks []uint64)
	engineDown(decode int)
	engineUp(decode int)
	jobs() []*job
}

// Policies are the names of the policies, the router's own last.
func Policies() []string {
	return []string{"random", "round-robin", "least-loaded", "power-of-two", "prefix-affinity", "vtc", "reelrun"}
}

// Ablations are the names of the router's policy with one idea changed.
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
	// changesRoles lets engines change their role by the load.
	changesRoles bool
}

// ablations change one idea each.
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
			pooled := newPooled(s, jobs, variant.options)
			if variant.changesRoles {
				newRoleChanger(pooled).start()
			}
			return pooled, nil
		}
	}
	if name == "vtc" {
		return newPooled(s, jobs, scheduler.Options{
			Ordering: scheduler.OrderVTC, NoAdmission: true, NoAffinity: true, NoBatchLimit: true, Reservation: scheduler.ReserveNone,
		}), nil
	}
	choices := map[string]chooser{
		"random": chooseRandom, "round-robin": chooseRoundRobin, "least-loaded": chooseLeastLoaded,
		"power-of-two": choosePowerOfTwo, "prefix-affinity": choosePrefix,
	}
	choose, ok := choices[name]
	if !ok {
		return nil, errors.Newf("unknown policy %q", name)
	}
	return newIndependent(s, jobs, choose, random), nil
}

// pooled routes by a scheduler.Pool, as the owner of a pool does.
type pooled struct {
	simulation *simulation
	all        []*job
	pool       *scheduler.Pool
	byID       map[string]*job
	requests   map[*job]*scheduler.Request
	armed      bool
}

func prefillName(engine int) string { return "p" + strconv.Itoa(engine) }
func decodeName(engine int) string  { return "d" + strconv.Itoa(engine) }

func engineNumber(name string) int {
	number, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err) // Names are made above.
	}
	return number
}

func newPooled(s *simulation, jobs []*job, options scheduler.Options) *pooled {
	p := &pooled{
		simulation: s, all: jobs, pool: scheduler.NewPool(options, s.parameters.LinkTokensPerSecond),
		byID: map[string]*job{}, requests: map[*job]*scheduler.Request{},
	}
	p.setEngines()
	return p
}

// setEngines tells the pool the engines that have their roles.
func (p *pooled) setEngines() {
	s := p.simulation
	var prefill []scheduler.PrefillState
	for i, engine := range s.prefills {
		if !engine.gone {
			prefill = append(prefill, scheduler.PrefillState{Name: prefillName(i), Ready: true, TokensPerSecond: s.parameters.PrefillTokensPerSecond})
		}
	}
	var decode []scheduler.DecodeState
	for i, engine := range s.decodes {
		if !engine.gone {
			decode = append(decode, scheduler.DecodeState{Name: decodeName(i), Ready: true, Slots: s.parameters.Slots, KVTokens: s.parameters.KVTokens, Step: s.parameters.Step})
		}
	}
	p.pool.SetEngines(prefill, decode)
}

func (p *pooled) jobs() []*job { return p.all }

func (p *pooled) arrive(j *job) {
	request := &scheduler.Request{
		ID: strconv.Itoa(j.id) + "/" + strconv.Itoa(j.state.attempt), Tenant: j.tenant, Weight: 1, Arrival: j.arrival,
		PromptTokens: j.prompt, MaxTokens: j.kind.maxOutput, FirstToken: j.kind.firstToken, TokenInterval: j.kind.tokenInterval,
		Prefixes: j.blocks, LateAllowed: j.state.produced > 0,
	}
	p.byID[request.ID], p.requests[j] = j, request
	if refused := p.pool.Submit(p.simulation.Now(), request); refused != nil {
		p.refuse(j)
		return
	}
	p.changed()
}

func (p *pooled) refuse(j *job) {
	p.forget(j)
	p.simulation.refuse(j)
}

func (p *pooled) forget(j *job) {
	if request, ok := p.requests[j]; ok {
		delete(p.byID, request.ID)
		delete(p.requests, j)
	}
}

func (p *pooled) prefillDone(j *job) {
	p.pool.PrefillDone(p.simulation.Now(), p.requests[j].ID)
	p.changed()
}

func (p *pooled) failed(j *job) {
	p.release(j, -1)
	p.arrive(j)
}

func (p *pooled) release(j *job, tokens int) {
	request, ok := p.requests[j]
	if !ok {
		return
	}
	if !p.pool.Withdraw(request) {
		p.pool.Finished(p.simulation.Now(), request.ID, tokens)
	}
	p.forget(j)
}

func (p *pooled) finished(j *job) {
	tokens := -1
	if j.state.answered {
		tokens = j.state.produced
	}
	p.release(j, tokens)
}

// changed carries out what is due, and looks again later while requests wait.
func (p *pooled) changed() {
	for _, decision := range p.pool.Schedule(p.simulation.Now()) {
		j := p.byID[decision.RequestID]
		switch decision.Kind {
		case scheduler.KindPrefill:
			p.simulation.startPrefill(j, engineNumber(decision.Prefill))
		case scheduler.KindDecode:
			p.simulation.enqueueDecode(j, engineNumber(decision.Decode))
		case scheduler.KindRefuse:
			p.refuse(j)
		default:
		}
	}
	if p.pool.Waiting() > 0 && !p.armed {
		p.armed = true
		p.simulation.After(scheduler.RecheckInterval, func() {
			p.armed = false
			p.changed()
		})
	}
}

func (p *pooled) evicted(engine int, blocks []uint64) {
	for _, block := range blocks {
		p.pool.Index().Evict(prefillName(engine), block)
	}
}

func (p *pooled) engineDown(decode int) { p.pool.SetReady(decodeName(decode), false) }
func (p *pooled) engineUp(decode int)   { p.pool.SetReady(decodeName(decode), true) }

// loads is what an independent router knows: reports from some time ago.
type loads struct {
	queued []int
	slots  []int
	down   []bool
}

// chooser picks a prefill and a decode engine for a job.
type chooser func(p *independent, j *job) (prefill, decode int)

// independent routes each request at its arrival by lagging reports, without a
// queue of its own and without refusals.
type independent struct {
	simulation *simulation
	all        []*job
	choose     chooser
	random     *rand.Rand
	known      loads
	turn       int
	index      *scheduler.PrefixIndex
}

func newIndependent(s *simulation, jobs []*job, choose chooser, random *rand.Rand) *independent {
	p := &independent{simulation: s, all: jobs, choose: choose, random: random, index: scheduler.NewPrefixIndex()}
	p.known = loads{queued: make([]int, len(s.prefills)), slots: make([]int, len(s.decodes)), down: make([]bool, len(s.decodes))}
	p.report()
	return p
}

// report brings the loads of now to the router after the lag, again and again.
func (p *independent) report() {
	s := p.simulation
	current := loads{queued: make([]int, len(s.prefills)), slots: make([]int, len(s.decodes)), down: make([]bool, len(s.decodes))}
	for i, engine := range s.prefills {
		current.queued[i] = engine.queued
	}
	for i, engine := range s.decodes {
		current.slots[i] = engine.slotsUsed() + len(engine.waiting)
		current.down[i] = !engine.up
	}
	s.After(s.parameters.LoadLag, func() {
		p.known = current
		p.report()
	})
}

func (p *independent) jobs() []*job { return p.all }

func (p *independent) arrive(j *job) {
	prefill, decode := p.choose(p, j)
	j.state.decode = decode
	p.index.Store(prefillName(prefill), j.blocks)
	p.simulation.startPrefill(j, prefill)
}

func (p *independent) prefillDone(j *job) {
	p.simulation.enqueueDecode(j, j.state.decode)
}
func (p *independent) failed(j *job)  { p.arrive(j) }
func (p *independent) finished(*job)  {}
func (p *independent) changed()       {}
func (p *independent) engineDown(int) {}
func (p *independent) engineUp(int)   {}
func (p *independent) evicted(engine int, blocks []uint64) {
	for _, block := range blocks {
		p.index.Evict(prefillName(engine), block)
	}
}

func chooseRandom(p *independent, _ *job) (int, int) {
	return p.random.IntN(len(p.known.queued)), p.random.IntN(len(p.known.slots))
}

func chooseRoundRobin(p *independent, _ *job) (int, int) {
	p.turn++
	return p.turn % len(p.known.queued), p.turn % len(p.known.slots)
}

func chooseLeastLoaded(p *independent, _ *job) (int, int) {
	return least(p.known.queued, nil, p.random), least(p.known.slots, p.known.down, p.random)
}

// least returns the place of the smallest value; equal ones are drawn by lot.
func least(values []int, skip []bool, random *rand.Rand) int {
	best, equals := -1, 0
	for i, value := range values {
		if skip != nil && skip[i] {
			continue
		}
		switch {
		case best < 0 || value < values[best]:
			best, equals = i, 1
		case value == values[best]:
			equals++
			if random.IntN(equals) == 0 {
				best = i
			}
		}
	}
	return max(best, 0)
}

func choosePowerOfTwo(p *independent, _ *job) (int, int) {
	better := func(values []int) int {
		first, second := p.random.IntN(len(values)), p.random.IntN(len(values))
		if values[second] < values[first] {
			return second
		}
		return first
	}
	return better(p.known.queued), better(p.known.slots)
}

// choosePrefix takes the prefill engine with the longest cached prefix, as a
// locality-aware router does, and the least loaded one when none has any.
func choosePrefix(p *independent, j *job) (int, int) {
	best, longest := -1, 0
	for i := range p.known.queued {
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
