package retrybudget

// Grant is what the budget has granted to one request. A repeat counts in each window from when it is granted
// until it has arrived, and from then on in those that hold that moment: in between a request may wait for
// seconds, and a link may hold it up. It is not safe for concurrent use.
type Grant struct {
	budget  *Budget
	service string
	// held is how many repeats were granted and have not arrived, and arrived how many have.
	held, arrived int
}

// Grant returns an empty grant for a request to a service. Release must be called once the request has ended.
func (b *Budget) Grant(service string) *Grant { return &Grant{budget: b, service: service} }

// Reserve has the grant hold a number of repeats, those that have arrived included. It reports false, and adds
// none, if the budget does not have them.
func (g *Grant) Reserve(total int) bool {
	missing := total - g.held - g.arrived
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

// MaySend reports whether repeats may be sent until so many have. It is false where they are not held, or
// where the windows of this moment have less than those of the moment when they were granted.
func (g *Grant) MaySend(total int) bool {
	more := total - g.arrived
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
	return true
}

// Arrived counts repeats as arrived by now, until so many have. All of them must be held.
func (g *Grant) Arrived(total int) {
	more := min(total-g.arrived, g.held)
	if more <= 0 {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	current.repeats[position(current.newest)] += more
	current.held -= more
	g.held -= more
	g.arrived += more
}

// Release gives back what has not been sent.
func (g *Grant) Release() {
	if g.held == 0 {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.budget.account(g.service).held -= g.held
	g.held = 0
}
