package scheduler

// Demand is the work that has been asked of a pool since its state began, granted
// or not, in seconds of one engine.
type Demand struct {
	// Prefill is the time that one prefill engine would take for it.
	Prefill float64
	// Decode is the time that one decode engine would take for it with a full batch.
	Decode float64
}

// Demand returns the work asked of the pool so far.
func (p *Pool) Demand() Demand { return p.demand }

// note counts the work of a request, of which some tokens are cached. The engines
// of a pool are taken to be alike.
func (p *Pool) note(request *Request, cached int) {
	if len(p.prefill) > 0 && p.prefill[0].TokensPerSecond > 0 {
		p.demand.Prefill += float64(request.PromptTokens-cached) / p.prefill[0].TokensPerSecond
	}
	if len(p.decode) == 0 || request.IsLocal() {
		return
	}
	engine := &p.decode[0]
	full := max(batchLimit(engine, request.TokenInterval, &p.options), 1)
	step := engine.Step.Time(full, engine.KVUsed).Seconds()
	p.demand.Decode += p.expectedOutput(request) * step / float64(full)
}
