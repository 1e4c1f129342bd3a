package scheduler

import (
	"slices"
	"strings"
	"time"
)

// RecheckInterval is how often Schedule should run while requests wait: passing time alone can turn
// a wait into a grant or a rejection.
const RecheckInterval = 10 * time.Millisecond

// phase is the state of a granted request.
type phase int

const (
	phasePrefill phase = iota
	phasePending
	phaseDecode
)

// activeRequest is a granted request.
type activeRequest struct {
	request *Request
	phase   phase
	prefill string
	decode  string
	// cached is the number of prompt tokens that are expected to be cached.
	cached int
	// completionRate is its part of the completion rate of its decode engine.
	completionRate float64
	// charged is the cost that the tenant was charged with at the grant.
	charged float64
}

// Pool tracks the engines, queues and grants of one pool. It is not safe for concurrent use; its
// owner serializes the calls. Each call that changes something must be followed by Schedule.
type Pool struct {
	options Options
	// linkRate is the rate of a KV transfer in tokens per second.
	linkRate float64

	prefill []PrefillState
	decode  []DecodeState
	index   *PrefixIndex
	// prefillOnly queues the requests that end with their prefill, and withDecode those that need a
	// decode slot: a lack of slots must not delay the former.
	prefillOnly *fairQueue
	withDecode  *fairQueue
	active      map[string]*activeRequest
	// pending are the active requests that wait for a decode engine, in order.
	pending []*activeRequest
	// reserved is the number of active requests that will need a decode slot.
	reserved int
	// outputRatio is the moving average of output tokens over MaxTokens.
	outputRatio float64
	demand      Demand
}

// NewPool returns a pool without engines.
func NewPool(options Options, linkTokensPerSecond float64) *Pool {
	options.setDefaults()
	return &Pool{
		options: options, linkRate: linkTokensPerSecond, index: NewPrefixIndex(),
		prefillOnly: newFairQueue(&options), withDecode: newFairQueue(&options), active: map[string]*activeRequest{}, outputRatio: 1,
	}
}

// SetEngines replaces the engines. The state of engines that remain is kept.
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
		if state := p.findDecode(granted.decode); state != nil && granted.phase == phaseDecode {
			state.add(granted)
		}
	}
}

// minDecodeTime keeps the completion rate of a short output finite, in seconds.
const minDecodeTime = 0.001

// add accounts for a request at a decode engine.
func (s *DecodeState) add(granted *activeRequest) {
	s.SlotsUsed++
	s.KVUsed += requestKV(granted.request)
	s.CompletionRate += granted.completionRate
}

// remove undoes add.
func (s *DecodeState) remove(granted *activeRequest) {
	s.SlotsUsed--
	s.KVUsed -= requestKV(granted.request)
	s.CompletionRate -= granted.completionRate
}

// SetReady sets whether an engine can take work.
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

// Snapshot returns the pool as of now. It shares memory with the pool and is valid until the next
// change.
func (p *Pool) Snapshot(now time.Duration) *Snapshot {
	return &Snapshot{
		Now: now, Prefill: p.prefill, Decode: p.decode,
		Reserved: p.reserved, LinkTokensPerSecond: p.linkRate, Index: p.index,
	}
}

// Waiting returns the number of requests in the queue.
func (p *Pool) Waiting() int { return p.prefillOnly.length + p.withDecode.length }

// Active returns the number of granted requests.
func (p *Pool) Active() int { return len(p.active) }

// Submit queues a request and returns nil. If the request cannot be served, or the work ahead of it
// makes its deadline unreachable, Submit returns the rejection.
func (p *Pool) Submit(now time.Duration, request *Request) *Decision {
	snapshot := p.Snapshot(now)
	snapshot.Ahead = p.ahead(request)
	decision := Decide(snapshot, request, p.options)
	p.countDemand(request, decision.CachedTokens)
	if decision.Kind == KindReject {
		return &decision
	}
	expected := decision.FirstToken + drainTime(&Snapshot{Now: now, Prefill: p.idlePrefill(), Ahead: snapshot.Ahead})
	forecast := !p.options.NoForecast && !p.options.NoAdmission
	if expected > request.Deadline() && !request.LateAllowed && forecast {
		rejected := reject(snapshot, request, ReasonDeadline)
		return &rejected
	}
	p.queueOf(request).push(request)
	return nil
}

func (p *Pool) queueOf(request *Request) *fairQueue {
	if request.IsPrefillOnly() {
		return p.prefillOnly
	}
	return p.withDecode
}

// ahead is the backlog of both queues before a new request.
func (p *Pool) ahead(request *Request) Backlog {
	prefillOnly, withDecode := p.prefillOnly.ahead(request.Tenant, 0), p.withDecode.ahead(request.Tenant, 0)
	if request.IsPrefillOnly() {
		// Requests that wait for a decode slot do not occupy the prefill engines.
		return prefillOnly
	}
	return Backlog{Requests: prefillOnly.Requests + withDecode.Requests, PrefillTokens: prefillOnly.PrefillTokens + withDecode.PrefillTokens}
}

// idlePrefill returns the prefill engines as if they were idle, so that the work in progress, which
// Decision.FirstToken includes already, is not counted twice.
func (p *Pool) idlePrefill() []PrefillState {
	idle := slices.Clone(p.prefill)
	for i := range idle {
		idle[i].FreeAt = 0
	}
	return idle
}

// Schedule returns the grants and rejections that are due now.
func (p *Pool) Schedule(now time.Duration) []Decision {
	decisions := p.scheduleDecode(now)
	for {
		decision, ok := p.scheduleOne(now)
		if !ok {
			return decisions
		}
		decisions = append(decisions, decision)
	}
}

func (p *Pool) scheduleDecode(now time.Duration) []Decision {
	var decisions []Decision
	pending := p.pending[:0]
	for _, granted := range p.pending {
		name := DecideDecode(p.Snapshot(now), granted.request, p.options)
		if name == "" {
			pending = append(pending, granted)
			continue
		}
		p.startDecode(granted, name)
		decisions = append(decisions, Decision{Kind: KindDecode, RequestID: granted.request.ID, Prefill: granted.prefill, Decode: name})
	}
	clear(p.pending[len(pending):])
	p.pending = pending
	return decisions
}

// scheduleOne grants or rejects one waiting request. It reports false if none is due.
func (p *Pool) scheduleOne(now time.Duration) (Decision, bool) {
	for _, request := range headsOf(p.prefillOnly, p.withDecode, p.options.MaxScan) {
		decision := Decide(p.Snapshot(now), request, p.options)
		switch decision.Kind {
		case KindPrefill:
			p.queueOf(request).remove(request)
			p.startPrefill(now, request, decision)
			return decision, true
		case KindReject:
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
	granted := &activeRequest{request: request, prefill: decision.Prefill, cached: decision.CachedTokens}
	p.active[request.ID] = granted
	if !request.IsPrefillOnly() {
		p.reserved++
		state.LinkFreeAt = max(state.FreeAt, state.LinkFreeAt)
		if p.linkRate > 0 {
			state.LinkFreeAt += seconds(float64(request.PromptTokens) / p.linkRate)
		}
	}
	granted.charged = inputTokenWeight*float64(uncached) + outputTokenWeight*p.expectedOutput(request)
	p.charge(request.Tenant, granted.charged)
	p.index.Store(decision.Prefill, request.Prefixes)
}

func (p *Pool) expectedOutput(request *Request) float64 {
	return max(1, float64(request.MaxTokens)*p.outputRatio)
}

// PrefillDone records the end of a request's prefill. The next Schedule chooses the decode engine.
func (p *Pool) PrefillDone(now time.Duration, id string) {
	granted, ok := p.active[id]
	if !ok || granted.phase != phasePrefill {
		return
	}
	p.endPrefill(now, granted)
	if granted.request.IsPrefillOnly() {
		return
	}
	granted.phase = phasePending
	p.pending = append(p.pending, granted)
}

// endPrefill corrects the predicted time at which the engine is free: the prefills still granted to
// it start now.
func (p *Pool) endPrefill(now time.Duration, ended *activeRequest) {
	state := p.findPrefill(ended.prefill)
	if state == nil {
		return
	}
	free := now
	for _, other := range p.active {
		if other != ended && other.phase == phasePrefill && other.prefill == ended.prefill {
			free += seconds(float64(other.request.PromptTokens-other.cached) / state.TokensPerSecond)
		}
	}
	state.FreeAt = free
}

func (p *Pool) startDecode(granted *activeRequest, name string) {
	p.reserved--
	state := p.findDecode(name)
	granted.phase = phaseDecode
	granted.decode = name
	step := state.Step.Time(state.SlotsUsed+1, state.KVUsed+requestKV(granted.request))
	granted.completionRate = 1 / max(p.expectedOutput(granted.request)*step.Seconds(), minDecodeTime)
	state.add(granted)
}

// DecodeFailed makes a request wait for a decode engine other than the failed one. Its prefill
// result is still available.
func (p *Pool) DecodeFailed(id, engine string) {
	granted, ok := p.active[id]
	if !ok || granted.phase != phaseDecode || granted.decode != engine {
		return
	}
	if state := p.findDecode(engine); state != nil {
		state.remove(granted)
	}
	granted.request.Excluded = append(granted.request.Excluded, engine)
	granted.phase = phasePending
	granted.decode = ""
	p.reserved++
	p.pending = append(p.pending, granted)
}

// outputRatioWeight is the weight of one request in the moving average of output ratios.
const outputRatioWeight = 0.02

// Finished releases the resources of a request. outputTokens is the length of its output, or
// negative if it did not complete.
func (p *Pool) Finished(now time.Duration, id string, outputTokens int) {
	granted, ok := p.active[id]
	if !ok {
		return
	}
	delete(p.active, id)
	if outputTokens >= 0 {
		request := granted.request
		cost := inputTokenWeight*float64(request.PromptTokens-granted.cached) + outputTokenWeight*float64(outputTokens)
		p.charge(request.Tenant, cost-granted.charged)
		if request.MaxTokens > 1 {
			p.outputRatio += outputRatioWeight * (float64(outputTokens)/float64(request.MaxTokens) - p.outputRatio)
		}
	}
	p.release(now, granted)
}

func (p *Pool) release(now time.Duration, granted *activeRequest) {
	switch granted.phase {
	case phasePrefill:
		p.endPrefill(now, granted)
		if !granted.request.IsPrefillOnly() {
			p.reserved--
		}
	case phasePending:
		p.reserved--
		p.pending = slices.DeleteFunc(p.pending, func(other *activeRequest) bool { return other == granted })
	case phaseDecode:
		if state := p.findDecode(granted.decode); state != nil {
			state.remove(granted)
		}
	}
}

// Withdraw removes a request from the queue. It reports whether the request was queued.
func (p *Pool) Withdraw(request *Request) bool { return p.queueOf(request).remove(request) }

// Restore adds a request that another owner has granted.
func (p *Pool) Restore(request *Request, prefill, decode string) {
	if _, known := p.active[request.ID]; known {
		return
	}
	granted := &activeRequest{request: request, prefill: prefill}
	p.active[request.ID] = granted
	if !request.IsPrefillOnly() {
		p.reserved++
	}
	if decode == "" || p.findDecode(decode) == nil {
		return
	}
	p.startDecode(granted, decode)
}

// charge charges the cost of work to a tenant in both queues, because both use the same prefill
// engines.
func (p *Pool) charge(tenant string, cost float64) {
	p.prefillOnly.charge(tenant, cost)
	p.withDecode.charge(tenant, cost)
}
