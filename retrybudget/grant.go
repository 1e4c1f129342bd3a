package retrybudget

// Grant holds the upstream retries that the budget has granted to one request. A retry counts in every window
// from when it is granted until it has arrived at a backend, and then in those that include its arrival: in
// between, the request may wait for seconds, and the network may delay it. It is not safe for concurrent use.
type Grant struct {
	budget  *Budget
	service string
	// reserved is how many retries were granted and have not arrived, and arrived how many have.
	reserved, arrived int
}

// Grant returns an empty grant for a request to a service. Release must be called once the request has ended.
func (b *Budget) Grant(service string) *Grant { return &Grant{budget: b, service: service} }

// Reserve makes the grant cover total retries, including those that have arrived. It returns false, and adds
// none, if the budget does not have them.
func (g *Grant) Reserve(total int) bool {
	missing := total - g.reserved - g.arrived
	if missing <= 0 {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	if float64(missing) > g.budget.remaining(current) {
		current.rejected += missing
		return false
	}
	current.granted += missing
	current.reserved += missing
	g.reserved += missing
	return true
}

// MaySend reports whether retries may be sent up to total. It returns false if they are not reserved, or if the
// current windows allow fewer than those at the time of the reservation.
func (g *Grant) MaySend(total int) bool {
	more := total - g.arrived
	if more <= 0 {
		return true
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	if more > g.reserved || g.budget.remaining(current) < 0 {
		current.rejected += more
		return false
	}
	return true
}

// Arrived counts retries as arrived now, up to total. All of them must be reserved.
func (g *Grant) Arrived(total int) {
	more := min(total-g.arrived, g.reserved)
	if more <= 0 {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	current := g.budget.account(g.service)
	current.retries[position(current.newest)] += more
	current.reserved -= more
	g.reserved -= more
	g.arrived += more
}

// Release returns unsent retries to the budget.
func (g *Grant) Release() { g.Keep(0) }

// Keep returns unsent retries beyond total to the budget.
func (g *Grant) Keep(total int) {
	unsent := g.reserved - max(0, total-g.arrived)
	if unsent <= 0 {
		return
	}
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.budget.account(g.service).reserved -= unsent
	g.reserved -= unsent
}
