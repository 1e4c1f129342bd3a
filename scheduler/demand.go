package scheduler

// Demand is the work requested from a pool since its state was created, granted or not, in seconds
// of one engine.
type Demand struct {
	// Prefill is the time that the work would take on one prefill engine.
	Prefill float64
	// Decode is the time that the work would take on one decode engine with a full batch.
	Decode float64
}

// Demand returns the work requested from the pool so far.
func (p *Pool) Demand() Demand { return p.demand }

// countDemand adds the work of a request, of whose prompt the given number of tokens is cached. It
// assumes that all engines of a role are alike.
func (p *Pool) countDemand(request *Request, cached int) {
	if len(p.prefill) > 0 && p.prefill[0].TokensPerSecond > 0 {
		p.demand.Prefill += float64(request.PromptTokens-cached) / p.prefill[0].TokensPerSecond
	}
	if len(p.decode) == 0 || request.IsPrefillOnly() {
		return
	}
	engine := &p.decode[0]
	full := max(batchLimit(engine, request.TokenInterval, &p.options), 1)
	step := engine.Step.Time(full, engine.KVUsed).Seconds()
	p.demand.Decode += p.expectedOutput(request) * step / float64(full)
}
