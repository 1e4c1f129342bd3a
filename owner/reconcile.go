package owner

import (
	"context"
	"sync"
	"time"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/controller"
	"github.com/reelrun/reelrun/engine"
	"github.com/reelrun/reelrun/timeline"
)

// listTimeout bounds the listing of an engine's streams.
const listTimeout = time.Second

// listEngines requests the streams of each engine of a pool and, unless the engine's role is
// confirmed, its role.
func (o *Owner) listEngines(ctx context.Context, configured *api.Pool, confirmed func(engine string) bool) []engineReport {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	reports := make([]engineReport, len(configured.Engines))
	var calls sync.WaitGroup
	for i, member := range configured.Engines {
		calls.Add(1)
		go func() {
			defer calls.Done()
			reports[i] = o.listEngine(ctx, member, confirmed(member.Name))
		}()
	}
	calls.Wait()
	return reports
}

func (o *Owner) listEngine(ctx context.Context, member api.Engine, confirmed bool) engineReport {
	report := engineReport{engine: member.Name}
	report.streams, report.err = o.options.Engines.Streams(ctx, member.Address)
	if confirmed || report.err != nil {
		return report
	}
	load, err := o.options.Engines.Load(ctx, member.Address)
	report.role, report.err = load.Role, err
	return report
}

func (o *Owner) holders() holderState {
	return holderState{
		isTerminated: func(holder engine.Holder) bool {
			return o.options.Members.IsTerminated(holder.Node, holder.Incarnation)
		},
		seesMajority: o.options.Members.SeesMajority(),
	}
}

// Reconcile compares the bookings of a pool with what its engines hold: it cancels orphaned
// streams, frees lost bookings, and excludes engines that do not answer or are leaving. It is
// idempotent, and does nothing for a pool that another node owns.
func (o *Owner) Reconcile(ctx context.Context, request controller.Request) (controller.Result, error) {
	snapshot := o.options.Configuration.Current()
	configured, ok := snapshot.Pool(request.Name)
	if !ok || !o.options.Members.Owns(configured.Zone, Key(configured.Name)) {
		o.retire(request.Name)
		return controller.Result{}, nil
	}
	target, err := o.pool(ctx, configured.Name)
	if err != nil {
		return controller.Result{}, err
	}
	target.update(configured, snapshot.Version())
	reports := o.listEngines(ctx, configured, target.hasRole)
	o.mu.Lock()
	cancels := target.inspect(reports, o.holders(), o.options.ResumeWindow, o.suspects[configured.Name])
	o.applyLeaving(target, configured)
	o.mu.Unlock()
	o.cancelAll(ctx, configured, cancels)
	o.readCacheEvents(ctx, target, configured, reports)
	return controller.Result{}, nil
}

// Requests lists the pools to reconcile: the configured ones, and those whose state the node still
// keeps.
func (o *Owner) Requests() []controller.Request {
	snapshot := o.options.Configuration.Current()
	names := map[string]bool{}
	for _, name := range snapshot.PoolNames() {
		names[name] = true
	}
	o.mu.Lock()
	for name := range o.pools {
		names[name] = true
	}
	o.mu.Unlock()
	requests := make([]controller.Request, 0, len(names))
	for name := range names {
		requests = append(requests, controller.Request{Name: name})
	}
	return requests
}

// applyLeaving excludes engines that are leaving.
func (o *Owner) applyLeaving(target *pool, configured *api.Pool) {
	target.mu.Lock()
	defer target.mu.Unlock()
	for _, member := range configured.Engines {
		if o.options.Leaving(member.Name) {
			target.scheduler.SetReady(member.Name, false)
		}
	}
}

func (o *Owner) cancelAll(ctx context.Context, configured *api.Pool, cancels []orphan) {
	for _, lost := range cancels {
		for _, member := range configured.Engines {
			if member.Name != lost.engine {
				continue
			}
			if o.options.Engines.Cancel(ctx, member.Address, lost.attempt) == nil {
				o.options.Metrics.Add("orphans_cancelled", 1)
				o.options.Events.Record(timeline.Event{Kind: "orphan-cancelled", Request: lost.attempt.RequestID, Engine: lost.engine})
				o.forgetSuspect(configured.Name, lost)
			}
		}
	}
}

func (o *Owner) forgetSuspect(pool string, lost orphan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.suspects[pool], lost)
}

// readCacheEvents applies the engines' cache events to the prefix index.
func (o *Owner) readCacheEvents(ctx context.Context, target *pool, configured *api.Pool, reports []engineReport) {
	for i, member := range configured.Engines {
		if member.Role != api.RolePrefill || reports[i].err != nil {
			continue
		}
		o.mu.Lock()
		after := o.offsets[member.Name]
		o.mu.Unlock()
		events, err := o.options.Engines.CacheEvents(ctx, member.Address, after)
		if err != nil {
			continue
		}
		target.applyCacheEvents(member.Name, events)
		if len(events) > 0 {
			o.mu.Lock()
			o.offsets[member.Name] = events[len(events)-1].Sequence
			o.mu.Unlock()
		}
	}
}

func (p *pool) applyCacheEvents(engineName string, events []engine.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	index := p.scheduler.Index()
	for _, event := range events {
		if event.Evicted {
			index.Evict(engineName, event.Block)
			continue
		}
		index.Store(engineName, []uint64{event.Block})
	}
}

// retire drops the state of a pool that the node no longer owns, poolRetention after its last use.
// The entry nodes send waiting requests to the new owner; granted ones are no longer tracked here.
func (o *Owner) retire(name string) {
	o.mu.Lock()
	retired, ok := o.pools[name]
	if ok && o.options.Now().Sub(retired.lastUse()) >= poolRetention {
		delete(o.pools, name)
		delete(o.suspects, name)
	} else {
		ok = false
	}
	o.mu.Unlock()
	if ok {
		retired.close()
		o.options.Events.Record(timeline.Event{Kind: "pool-retired", Detail: name})
	}
}

func (p *pool) lastUse() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUsed
}

// HandOver drops the state of all pools and makes the entry nodes send waiting requests to the new
// owners. It is called when the node is draining and no longer ready.
func (o *Owner) HandOver() {
	o.mu.Lock()
	handedOver := o.pools
	o.pools = map[string]*pool{}
	o.suspects = map[string]map[orphan]time.Time{}
	o.mu.Unlock()
	for _, target := range handedOver {
		target.close()
	}
}
