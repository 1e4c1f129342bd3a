package scheduler

import (
	"slices"
	"strings"
	"time"
)

// RecheckInterval is how often Schedule should run while requests wait: time
// alone can turn a wait into a grant or a refusal.
const RecheckInterval = 10 * time.Millisecond

// progress is where a granted request stands.
type progress int

const (
	atPrefill progress = iota
	awaitingDecode
	atDecode
)

// active is a granted request.
type active struct {
	request  *Request
	progress progress
	prefill  string
	decode   string
	cached   int
	// turnover is its part in the turnover of its decode engine.
	turnover float64
	charged  float64
}

// Pool keeps the books of one pool of engines. It is not safe for concurrent
// use; its owner serializes the calls. Each call that changes something is
// followed by Schedule.
type Pool struct {
	options  Options
	linkRate float64

	prefill []PrefillState
	decode  []DecodeState
	index   *PrefixIndex
	// local holds the requests that end with their prefill, and moving those that
	// need a decode slot: the lack of slots must not hold the former up.
	local  *fairQueue
	moving *fairQueue
	active map[string]*active
	// pending are the active requests that wait for a decode engine, in order.
	pending []*active
	// reserved is the number of active requests that will need a decode slot.
	reserved int
	// ratio is the running mean of output tokens over MaxTokens.
	ratio  float64
	demand Demand
}

// NewPool returns a pool without engines.
func NewPool(options Options, linkTokensPerSecond float64) *Pool {
	options.setDefaults()
	return &Pool{
		options: options, linkRate: linkTokensPerSecond, index: NewPrefixIndex(),
		local: newFairQueue(&options), moving: newFairQueue(&options), active: map[string]*active{}, ratio: 1,
	}
}

// SetEngines replaces the engines. What is known of an engine that stays is kept.
func (p *Pool) SetEngines(prefill []PrefillState, decode []DecodeState) {
	for i := range prefill {
		if known := p.findPrefill(prefill[i].Name); known != nil {
			prefill[i].FreeAt, prefill[i].LinkFreeAt, prefill[i].Ready = known.FreeAt, known.LinkFreeAt, known.Ready
		}
	}
	for i := range decode {
		if known := p.findDecode(decode[i].Name); known != nil {
			decode[i].Ready = known.Ready
		}
	}
	slices.SortFunc(prefill, func(a, b PrefillState) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(decode, func(a, b DecodeState) int { return strings.Compare(a.Name, b.Name) })
	p.prefill, p.decode = prefill, decode
	for _, granted := range p.active {
		if state := p.findDecode(granted.decode); state != nil && granted.progress == atDecode {
			state.take(granted)
		}
	}
}

// shortestDecode keeps the turnover of a short answer finite, in seconds.
const shortestDecode = 0.001

// take books a request at a decode engine.
func (s *DecodeState) take(granted *active) {
	s.SlotsUsed++
	s.KVUsed += requestKV(granted.request)
	s.Turnover += granted.turnover
}

// drop undoes take.
func (s *DecodeState) drop(granted *active) {
	s.SlotsUsed--
	s.KVUsed -= requestKV(granted.request)
	s.Turnover -= granted.turnover
}

// SetReady marks an engine as able to take work or not.
func (p *Pool) SetReady(engine string, ready bool) {
	if state := p.findPrefill(engine); state != nil {
		state.Ready = ready
	}
	if state := p.findDecode(engine); state != nil {
		state.Ready = ready
	}
}

// Index returns the pool's prefix index.
func (p *Pool) Index() *PrefixIndex { return p.index }

func (p *Pool) findPrefill(name string) *PrefillState {
	for i := range p.prefill {
		if p.prefill[i].Name == name {
			return &p.prefill[i]
		}
	}
	return nil
}

func (p *Pool) findDecode(name string) *DecodeState {
	for i := range p.decode {
		if p.decode[i].Name == name {
			return &p.decode[i]
		}
	}
	return nil
}

// Snapshot returns the pool as of now. It shares memory with the pool and is
// valid until the next change.
func (p *Pool) Snapshot(now time.Duration) *Snapshot {
	return &Snapshot{
		Now: now, Prefill: p.prefill, Decode: p.decode,
		Reserved: p.reserved, LinkTokensPerSecond: p.linkRate, Index: p.index,
	}
}

// Waiting returns the number of requests in the queue.
func (p *Pool) Waiting() int { return p.local.length + p.moving.length }

// Active returns the number of granted requests.
func (p *Pool) Active() int { return len(p.active) }

// Submit queues a request, or refuses it at once if the work ahead of it makes
// its deadline unreachable.
func (p *Pool) Submit(now time.Duration, request *Request) *Decision {
	snapshot := p.Snapshot(now)
	snapshot.Ahead = p.ahead(request)
	decision := Decide(snapshot, request, p.options)
	p.note(request, decision.CachedTokens)
	if decision.Kind == KindRefuse {
		return &decision
	}
	expected := decision.FirstToken + drainTime(&Snapshot{Now: now, Prefill: p.idlePrefill(), Ahead: snapshot.Ahead})
	forecast := !p.options.NoForecast && !p.options.NoAdmission
	if expected > request.Deadline() && !request.LateAllowed && forecast {
		refused := refuse(snapshot, request, ReasonDeadline)
		return &refused
	}
	p.queueOf(request).push(request)
	return nil
}

func (p *Pool) queueOf(request *Request) *fairQueue {
	if request.IsLocal() {
		return p.local
	}
	return p.moving
}

// ahead is the backlog of both queues that comes before a new request.
func (p *Pool) ahead(request *Request) Backlog {
	local, moving := p.local.ahead(request.Tenant, 0), p.moving.ahead(request.Tenant, 0)
	if request.IsLocal() {
		// What waits for a decode slot does not take the prefill engines meanwhile.
		return local
	}
	return Backlog{Requests: local.Requests + moving.Requests, PrefillTokens: local.PrefillTokens + moving.PrefillTokens}
}

// idlePrefill returns the engines as if they were idle, so that work under way,
// which a prediction includes already, does not count twice.
func (p *Pool) idlePrefill() []PrefillState {
	idle := slices.Clone(p.prefill)
	for i := range idle {
		idle[i].FreeAt = 0
	}
	return idle
}

// Schedule returns the grants and refusals that are due now.
func (p *Pool) Schedule(now time.Duration) []Decision {
	decisions := p.scheduleDecode(now)
	for {
		made, ok := p.scheduleOne(now)
		if !ok {
			return decisions
		}
		decisions = append(decisions, made)
	}
}

func (p *Pool) scheduleDecode(now time.Duration) []Decision {
	var decisions []Decision
	still := p.pending[:0]
	for _, granted := range p.pending {
		name := DecideDecode(p.Snapshot(now), granted.request, p.options)
		if name == "" {
			still = append(still, granted)
			continue
		}
		p.startDecode(granted, name)
		decisions = append(decisions, Decision{Kind: KindDecode, RequestID: granted.request.ID, Prefill: granted.prefill, Decode: name})
	}
	clear(p.pending[len(still):])
	p.pending = still
	return decisions
}

// scheduleOne grants or refuses one waiting request. It reports false if there
// is nothing to do.
func (p *Pool) scheduleOne(now time.Duration) (Decision, bool) {
	for _, request := range headsOf(p.local, p.moving, p.options.Scan) {
		decision := Decide(p.Snapshot(now), request, p.options)
		switch decision.Kind {
		case KindPrefill:
			p.queueOf(request).remove(request)
			p.startPrefill(now, request, decision)
			return decision, true
		case KindRefuse:
			p.queueOf(request).remove(request)
			return decision, true
		}
	}
	return Decision{}, false
}

func (p *Pool) startPrefill(now time.Duration, request *Request, decision Decision) {
	state := p.findPrefill(decision.Prefill)
	uncached := request.PromptTokens - decision.CachedTokens
	state.FreeAt = max(now, state.FreeAt) + seconds(float64(uncached)/state.TokensPerSecond)
	granted := &active{request: request, prefill: decision.Prefill, cached: decision.CachedTokens}
	p.active[request.ID] = granted
	if !request.IsLocal() {
		p.reserved++
		state.LinkFreeAt = max(state.FreeAt, state.LinkFreeAt)
		if p.linkRate > 0 {
			state.LinkFreeAt += seconds(float64(request.PromptTokens) / p.linkRate)
		}
	}
	granted.charged = extendTokenWeight*float64(uncached) + outputTokenWeight*p.expectedOutput(request)
	p.charge(request.Tenant, granted.charged)
	p.index.Store(decision.Prefill, request.Prefixes)
}

func (p *Pool) expectedOutput(request *Request) float64 {
	return max(1, float64(request.MaxTokens)*p.ratio)
}

// PrefillDone records that a request's prefill has ended. The decode engine
// follows from Schedule.
func (p *Pool) PrefillDone(now time.Duration, id string) {
	granted, ok := p.active[id]
	if !ok || granted.progress != atPrefill {
		return
	}
	p.endPrefill(now, granted)
	if granted.request.IsLocal() {
		return
	}
	granted.progress = awaitingDecode
	p.pending = append(p.pending, granted)
}

// endPrefill corrects the prediction of when the engine is free: whatever is
// still granted to it starts now.
func (p *Pool) endPrefill(now time.Duration, ended *active) {
	state := p.findPrefill(ended.prefill)
	if state == nil {
		return
	}
	free := now
	for _, other := range p.active {
		if other != ended && other.progress == atPrefill && other.prefill == ended.prefill {
			free += seconds(float64(other.request.PromptTokens-other.cached) / state.TokensPerSecond)
		}
	}
	state.FreeAt = free
}

func (p *Pool) startDecode(granted *active, name string) {
	p.reserved--
	state := p.findDecode(name)
	granted.progress = atDecode
	granted.decode = name
	step := state.Step.Time(state.SlotsUsed+1, state.KVUsed+requestKV(granted.request))
	granted.turnover = 1 / max(p.expectedOutput(granted.request)*step.Seconds(), shortestDecode)
	state.take(granted)
}

// DecodeFailed returns a request to the wait for a decode engine, other than
// the one that failed it. Its prefill result is still held.
func (p *Pool) DecodeFailed(id, engine string) {
	granted, ok := p.active[id]
	if !ok || granted.progress != atDecode || granted.decode != engine {
		return
	}
	if state := p.findDecode(engine); state != nil {
		state.drop(granted)
	}
	granted.request.Excluded = append(granted.request.Excluded, engine)
	granted.progress = awaitingDecode
	granted.decode = ""
	p.reserved++
	p.pending = append(p.pending, granted)
}

// ratioGain is the weight of one request in the running mean of output ratios.
const ratioGain = 0.02

// Finished releases what a request holds. outputTokens is the length of its
// answer, or negative if it did not come to its end.
func (p *Pool) Finished(now time.Duration, id string, outputTokens int) {
	granted, ok := p.active[id]
	if !ok {
		return
	}
	delete(p.active, id)
	if outputTokens >= 0 {
		request := granted.request
		cost := extendTokenWeight*float64(request.PromptTokens-granted.cached) + outputTokenWeight*float64(outputTokens)
		p.charge(request.Tenant, cost-granted.charged)
		if request.MaxTokens > 1 {
			p.ratio += ratioGain * (float64(outputTokens)/float64(request.MaxTokens) - p.ratio)
		}
	}
	p.release(now, granted)
}

func (p *Pool) release(now time.Duration, granted *active) {
	switch granted.progress {
	case atPrefill:
		p.endPrefill(now, granted)
		if !granted.request.IsLocal() {
			p.reserved--
		}
	case awaitingDecode:
		p.reserved--
		p.pending = slices.DeleteFunc(p.pending, func(other *active) bool { return other == granted })
	case atDecode:
		if state := p.findDecode(granted.decode); state != nil {
			state.drop(granted)
		}
	}
}

// Withdraw takes a request out of the queue. It reports whether it was there.
func (p *Pool) Withdraw(request *Request) bool { return p.queueOf(request).remove(request) }

// Restore books a request that another owner has granted.
func (p *Pool) Restore(request *Request, prefill, decode string) {
	if _, known := p.active[request.ID]; known {
		return
	}
	granted := &active{request: request, prefill: prefill}
	p.active[request.ID] = granted
	if !request.IsLocal() {
		p.reserved++
	}
	if decode == "" || p.findDecode(decode) == nil {
		return
	}
	p.startDecode(granted, decode)
}

// charge takes the cost of work from a tenant's credit in both queues: what it got
// from one takes the same prefill engines from the others in the other.
func (p *Pool) charge(tenant string, cost float64) {
	p.local.charge(tenant, cost)
	p.moving.charge(tenant, cost)
}
