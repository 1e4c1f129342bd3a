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

// booking is a request that waits for a grant or has one, made by this owner or reported to it.
type booking struct {
	request *scheduler.Request
	holder  engine.Holder
	prefill string
	decode  string
	// decisions receives the grant of the prefill engine and then that of the decode engine.
	decisions chan scheduler.Decision
	// lastSeen is when the booking was last confirmed by its holder or an engine, or could not be
	// checked because its engine did not answer.
	lastSeen time.Time
	// adopted marks a booking that was made from an engine's report alone.
	adopted bool
}

// pool is the state of one pool.
type pool struct {
	name    string
	start   time.Time
	now     func() time.Time
	metrics *metrics.Set

	mu           sync.Mutex
	scheduler    *scheduler.Pool
	bookings     map[string]*booking
	recheckTimer *time.Timer
	lastUsed     time.Time
	version      uint64
	closed       bool
	// configured are the configured roles of the engines, and reported those that the engines
	// reported last. An engine whose role is being changed gets no work until it has the new role:
	// it still serves the old one, and rejects work of the new one.
	configured map[string]api.Role
	reported   map[string]api.Role
}

func newPool(configured *api.Pool, options scheduler.Options, set *metrics.Set, now func() time.Time) *pool {
	created := &pool{
		name: configured.Name, start: now(), now: now, metrics: set,
		scheduler: scheduler.NewPool(options, configured.LinkTokensPerSecond), bookings: map[string]*booking{}, lastUsed: now(),
		reported: map[string]api.Role{},
	}
	created.setEngines(configured)
	return created
}

// setEngines applies the engines of a configuration. The caller holds the lock, unless the pool is
// not shared yet.
func (p *pool) setEngines(configured *api.Pool) {
	p.configured = map[string]api.Role{}
	for _, member := range configured.Engines {
		p.configured[member.Name] = member.Role
	}
	p.scheduler.SetEngines(enginesOf(configured))
	for _, member := range configured.Engines {
		if !p.isInRole(member.Name) {
			p.scheduler.SetReady(member.Name, false)
		}
	}
}

// isInRole reports whether an engine has reported its configured role. The caller holds the lock.
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

// elapsed is the pool's scheduler time.
func (p *pool) elapsed() time.Duration { return p.now().Sub(p.start) }

// schedule delivers the decisions that are due, and sets a timer for the next check while requests
// wait. The caller holds the lock.
func (p *pool) schedule() {
	for _, decision := range p.scheduler.Schedule(p.elapsed()) {
		p.deliver(decision)
	}
	if p.scheduler.Waiting() > 0 && p.recheckTimer == nil && !p.closed {
		p.recheckTimer = time.AfterFunc(scheduler.RecheckInterval, p.recheck)
	}
}

func (p *pool) recheck() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recheckTimer = nil
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
	case scheduler.KindReject:
		delete(p.bookings, decision.RequestID)
		p.metrics.Add("refusals", 1)
	}
	select {
	case booked.decisions <- decision:
	default:
	}
}

// decisionBuffer is enough for the grants of a prefill engine, of a decode engine and of a few
// replacements of the latter.
const decisionBuffer = 8

// grant waits until the request is granted or rejected.
func (p *pool) grant(ctx context.Context, grant *peerpb.Grant) (scheduler.Decision, error) {
	p.mu.Lock()
	request := requestOf(p.elapsed(), grant)
	if _, exists := p.bookings[request.ID]; exists {
		p.mu.Unlock()
		return scheduler.Decision{}, api.NewError(http.StatusConflict, api.CodeConflict, api.OutcomeNotRun, "attempt is booked already")
	}
	p.lastUsed = p.now()
	if rejected := p.scheduler.Submit(p.elapsed(), request); rejected != nil {
		p.mu.Unlock()
		p.metrics.Add("refusals", 1)
		return *rejected, nil
	}
	booked := &booking{request: request, holder: holderOf(grant.GetHolder()), decisions: make(chan scheduler.Decision, decisionBuffer), lastSeen: p.now()}
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

// errUnknownGrant tells an entry node that the owner has no record of its grant.
var errUnknownGrant = api.NewError(http.StatusNotFound, api.CodeNotFound, api.OutcomeUnknown, "grant is not booked")

// progress records the end of a prefill and waits for a decode engine.
func (p *pool) progress(ctx context.Context, id, failedEngine string) (string, error) {
	p.mu.Lock()
	booked, ok := p.bookings[id]
	if !ok {
		p.mu.Unlock()
		return "", errUnknownGrant
	}
	if failedEngine != "" {
		p.scheduler.DecodeFailed(id, failedEngine)
	} else {
		p.scheduler.PrefillDone(p.elapsed(), id)
	}
	p.schedule()
	p.mu.Unlock()
	decision, err := await(ctx, booked)
	if err == nil && decision.Kind != scheduler.KindDecode {
		err = errOwnerChanged
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
	if !p.scheduler.Withdraw(booked.request) {
		p.scheduler.Finished(p.elapsed(), id, outputTokens)
	}
	if failedEngine != "" {
		p.scheduler.SetReady(failedEngine, false)
		// The engine may have restarted with another role.
		delete(p.reported, failedEngine)
		p.metrics.Add("engine_failures", 1)
	}
	p.schedule()
}

// restore books a grant that another owner has made.
func (p *pool) restore(restore *peerpb.Restore) {
	p.mu.Lock()
	defer p.mu.Unlock()
	request := requestOf(p.elapsed(), restore.GetGrant())
	if existing, known := p.bookings[request.ID]; known {
		existing.holder = holderOf(restore.GetGrant().GetHolder())
		existing.lastSeen = p.now()
		existing.adopted = false
		return
	}
	granted := restore.GetGranted()
	p.bookings[request.ID] = &booking{
		request: request, holder: holderOf(restore.GetGrant().GetHolder()), lastSeen: p.now(),
		prefill: granted.GetPrefillEngine(), decode: granted.GetDecodeEngine(),
		decisions: make(chan scheduler.Decision, decisionBuffer),
	}
	p.scheduler.Restore(request, granted.GetPrefillEngine(), granted.GetDecodeEngine())
	p.metrics.Add("grants_restored", 1)
}

// update applies a new configuration of the pool.
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

// close answers all waiting calls, so that the entry nodes call the new owner.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for id, booked := range p.bookings {
		if p.scheduler.Withdraw(booked.request) {
			delete(p.bookings, id)
		}
		select {
		case booked.decisions <- scheduler.Decision{Kind: scheduler.KindReject, Reason: reasonOwnerChanged}:
		default:
		}
	}
}

// reasonOwnerChanged marks a rejection that only means that the pool has another owner.
const reasonOwnerChanged scheduler.Reason = "pool has moved"
