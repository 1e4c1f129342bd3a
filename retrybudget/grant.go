package retrybudget

// Grant is what the budget has granted to one request. A repeat that was granted counts in each window until
// it is sent, and from then on in those that hold the moment at which it was sent: a request may wait for
// seconds in between. It is not safe for concurrent use.
type Grant struct {
	budget  *Budget
	service string
	// held is how many repeats were granted and have not been sent.
	held int
	// sent are the parts of the account in which the others were sent.
	sent []int64
}

// Grant returns an empty grant for a request to a service. Release must be called once the request has ended.
func (b *Budget) Grant(service string) *Grant { return &Grant{budget: b, service: service} }

// Reserve has the grant hold a number of repeats, those that were sent included. It reports false, and adds
// none, if the budget does not have them.
func (g *Grant) Reserve(total int) bool {
	missing := total - g.held - len(g.sent)
	if missing <= 0 {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	if float64(missing) > g.budget.left(current) {
		current.refused += missing
		return false
	}
	current.granted += missing
	current.held += missing
	g.held += missing
	return true
}

// Send counts repeats as sent now, until so many are. It reports false, and counts none, where they are not
// held, or where the windows of this moment have less than those of the moment when they were granted.
func (g *Grant) Send(total int) bool {
	more := total - len(g.sent)
	if more <= 0 {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	if more > g.held || g.budget.left(current) < 0 {
		current.refused += more
		return false
	}
	for range more {
		g.sent = append(g.sent, current.newest)
	}
	current.repeats[position(current.newest)] += more
	current.held -= more
	g.held -= more
	return true
}

// Unsend holds those beyond a number again that counted as sent: they were not, or turned out not to be
// repeats.
func (g *Grant) Unsend(total int) {
	if total >= len(g.sent) {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	for _, part := range g.sent[total:] {
		current.forget(part)
		current.held++
		g.held++
	}
	g.sent = g.sent[:total]
}

// Release gives back what was not sent.
func (g *Grant) Release() {
	if g.held == 0 {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.budget.account(g.service).held -= g.held
	g.held = 0
}
