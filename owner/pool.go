package owner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/metrics"
	"github.com/reelrun/reelrun/peer/peerpb"
	"github.com/reelrun/reelrun/scheduler"
)

// booking is a grant that the pool has made or that was reported to it.
type booking struct {
	request *scheduler.Request
	holder  engine.Holder
	prefill string
	decode  string
	// decisions carries the grant and then the decode engine.
	decisions chan scheduler.Decision
	// seen is when the booking was last known to be wanted: its holder lives or
	// an engine holds its stream.
	seen time.Time
	// foreign marks a booking made from an engine's report alone.
	foreign bool
}

// pool is one owned pool.
type pool struct {
	name    string
	start   time.Time
	now     func() time.Time
	metrics *metrics.Set

	mu        sync.Mutex
	books     *scheduler.Pool
	bookings  map[string]*booking
	rechecked *time.Timer
	touched   time.Time
	version   uint64
	closed    bool
	// configured are the roles that the engines are to have, and reported those
	// that they have last named themselves. An engine whose role is being changed
	// gets no work until it has the new one: it still does the old one's, and
	// refuses the new one's.
	configured map[string]api.Role
	reported   map[string]api.Role
}

func newPool(configured *api.Pool, options scheduler.Options, set *metrics.Set, now func() time.Time) *pool {
	created := &pool{
		name: configured.Name, start: now(), now: now, metrics: set,
		books: scheduler.NewPool(options, configured.LinkTokensPerSecond), bookings: map[string]*booking{}, touched: now(),
		reported: map[string]api.Role{},
	}
	created.setEngines(configured)
	return created
}

// setEngines books the engines of a configuration. The caller holds the lock, or
// is the only one who knows the pool.
func (p *pool) setEngines(configured *api.Pool) {
	p.configured = map[string]api.Role{}
	for _, member := range configured.Engines {
		p.configured[member.Name] = member.Role
	}
	p.books.SetEngines(enginesOf(configured))
	for _, member := range configured.Engines {
		if !p.isInRole(member.Name) {
			p.books.SetReady(member.Name, false)
		}
	}
}

// isInRole reports whether an engine has said that it has its configured role.
// The caller holds the lock.
func (p *pool) isInRole(engine string) bool {
	role, known := p.reported[engine]
	return known && role == p.configured[engine]
}

// hasRole is isInRole for callers without the lock.
func (p *pool) hasRole(engine string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isInRole(engine)
}

// since is the pool's scheduler time.
func (p *pool) since() time.Duration { return p.now().Sub(p.start) }

// schedule delivers the decisions that are due. The caller holds the lock.
func (p *pool) schedule() {
	for _, decision := range p.books.Schedule(p.since()) {
		p.deliver(decision)
	}
	if p.books.Waiting() > 0 && p.rechecked == nil && !p.closed {
		p.rechecked = time.AfterFunc(scheduler.RecheckInterval, p.recheck)
	}
}

func (p *pool) recheck() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rechecked = nil
	if !p.closed {
		p.schedule()
	}
}

func (p *pool) deliver(decision scheduler.Decision) {
	booked, ok := p.bookings[decision.RequestID]
	if !ok {
		return
	}
	switch decision.Kind {
	case scheduler.KindPrefill:
		booked.prefill = decision.Prefill
		p.metrics.Add("grants", 1)
	case scheduler.KindDecode:
		booked.decode = decision.Decode
	case scheduler.KindRefuse:
		delete(p.bookings, decision.RequestID)
		p.metrics.Add("refusals", 1)
	}
	select {
	case booked.decisions <- decision:
	default:
	}
}

// decisionBuffer holds a grant, a decode engine and a few replacements of it.
const decisionBuffer = 8

// grant waits until the request is granted or refused.
func (p *pool) grant(ctx context.Context, grant *peerpb.Grant) (scheduler.Decision, error) {
	p.mu.Lock()
	request := requestOf(p.since(), grant)
	if _, exists := p.bookings[request.ID]; exists {
		p.mu.Unlock()
		return scheduler.Decision{}, api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeNotRun, "attempt is booked already")
	}
	p.touched = p.now()
	if refused := p.books.Submit(p.since(), request); refused != nil {
		p.mu.Unlock()
		p.metrics.Add("refusals", 1)
		return *refused, nil
	}
	booked := &booking{request: request, holder: holderOf(grant.GetHolder()), decisions: make(chan scheduler.Decision, decisionBuffer), seen: p.now()}
	p.bookings[request.ID] = booked
	p.schedule()
	p.mu.Unlock()
	decision, err := await(ctx, booked)
	if err != nil {
		p.release(request.ID, -1, "")
	}
	return decision, err
}

func holderOf(holder *peerpb.Holder) engine.Holder {
	return engine.Holder{Node: holder.GetNode(), Incarnation: holder.GetIncarnation()}
}

func await(ctx context.Context, booked *booking) (scheduler.Decision, error) {
	select {
	case decision := <-booked.decisions:
		return decision, nil
	case <-ctx.Done():
		return scheduler.Decision{}, ctx.Err()
	}
}

// errNotBooked tells an entry node that the owner does not know its grant.
var errNotBooked = api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeUnknown, "grant is not booked")

// progress records the end of a prefill and waits for a decode engine.
func (p *pool) progress(ctx context.Context, id, failedEngine string) (string, error) {
	p.mu.Lock()
	booked, ok := p.bookings[id]
	if !ok {
		p.mu.Unlock()
		return "", errNotBooked
	}
	if failedEngine != "" {
		p.books.DecodeFailed(id, failedEngine)
	} else {
		p.books.PrefillDone(p.since(), id)
	}
	p.schedule()
	p.mu.Unlock()
	decision, err := await(ctx, booked)
	if err == nil && decision.Kind != scheduler.KindDecode {
		err = errMoved
	}
	return decision.Decode, err
}

// release returns a grant or withdraws a waiting request.
func (p *pool) release(id string, outputTokens int, failedEngine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	booked, ok := p.bookings[id]
	if !ok {
		return
	}
	delete(p.bookings, id)
	if !p.books.Withdraw(booked.request) {
		p.books.Finished(p.since(), id, outputTokens)
	}
	if failedEngine != "" {
		p.books.SetReady(failedEngine, false)
		// It may have come back with another role.
		delete(p.reported, failedEngine)
		p.metrics.Add("engine_failures", 1)
	}
	p.schedule()
}

// restore books a grant that another owner has made.
func (p *pool) restore(restore *peerpb.Restore) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := requestOf(p.since(), restore.GetGrant())
	if standing, known := p.bookings[request.ID]; known {
		standing.holder = holderOf(restore.GetGrant().GetHolder())
		standing.seen = p.now()
		standing.foreign = false
		return
	}
	granted := restore.GetGranted()
	p.bookings[request.ID] = &booking{
		request: request, holder: holderOf(restore.GetGrant().GetHolder()), seen: p.now(),
		prefill: granted.GetPrefillEngine(), decode: granted.GetDecodeEngine(),
		decisions: make(chan scheduler.Decision, decisionBuffer),
	}
	p.books.Restore(request, granted.GetPrefillEngine(), granted.GetDecodeEngine())
	p.metrics.Add("grants_restored", 1)
}

// update puts a new configuration of the pool in force.
func (p *pool) update(configured *api.Pool, version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version {
		return
	}
	p.version = version
	p.setEngines(configured)
	p.schedule()
}

// close answers whoever waits, so that the entry nodes ask the new owner.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, booked := range p.bookings {
		if p.books.Withdraw(booked.request) {
			delete(p.bookings, id)
		}
		select {
		case booked.decisions <- scheduler.Decision{Kind: scheduler.KindRefuse, Reason: reasonMoved}:
		default:
		}
	}
}

// reasonMoved marks a refusal that only means that the pool has another owner.
const reasonMoved scheduler.Reason = "pool has moved"
