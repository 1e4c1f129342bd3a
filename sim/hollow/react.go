package hollow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/api"
	"github.com/reelrun/reelrun/configuration"
	"github.com/reelrun/reelrun/operator"
	"github.com/reelrun/reelrun/owner"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

const (
	// reactionLimit is when a reaction counts as missing.
	reactionLimit = 60 * time.Second
	pollInterval  = 5 * time.Millisecond
)

// errNoReaction means that a reaction did not come within its limit.
var errNoReaction = errors.New("hollow: no reaction")

// reactions measures how fast the fleet reacts to changes and failures.
func (r *Report) reactions(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	spread, err := measureSpread(ctx, fleet, options.Trials, func() {}, everyone)
	if err != nil {
		return err
	}
	r.Spread = spread
	if options.Restarts > 0 {
		if err := r.restarts(fleet, options); err != nil {
			return err
		}
	}
	if options.PartitionDuration > 0 {
		if err := r.regionsParted(ctx, fleet, options); err != nil {
			return err
		}
	}
	if !options.Failures {
		return nil
	}
	if err := r.streamsFreed(fleet, options); err != nil {
		return err
	}
	for _, churn := range []struct {
		percent int
		target  **Spread
	}{{5, &r.SpreadChurn5}, {20, &r.SpreadChurn20}} {
		measured, err := measureSpread(ctx, fleet, options.Trials, func() { replace(fleet, churn.percent) }, everyone)
		if err != nil {
			return errors.Wrapf(err, "churn of %d %%", churn.percent)
		}
		*churn.target = &measured
		if !fleet.WaitReady(readyLimit) {
			return errors.Wrap(errNoReaction, "fleet after churn")
		}
	}
	if err := r.zoneCut(ctx, fleet, options); err != nil {
		return err
	}
	if err := r.deaths(fleet, options); err != nil {
		return err
	}
	return r.zoneLost(fleet)
}

// everyone is every running node.
func everyone(fleet *rehearsal.Fleet) []*rehearsal.Node { return fleet.Alive() }

// measureSpread accepts configurations while disturb happens, and measures the
// time until each is in force at all selected nodes.
func measureSpread(ctx context.Context, fleet *rehearsal.Fleet, trials int, disturb func(), selected func(*rehearsal.Fleet) []*rehearsal.Node) (Spread, error) {
	times := make([]time.Duration, 0, trials)
	for range trials {
		disturb()
		version, err := change(ctx, fleet)
		if err != nil {
			return Spread{}, err
		}
		accepted := time.Now()
		err = await(func() bool { return inForce(selected(fleet), version) })
		if err != nil {
			return Spread{}, errors.Wrapf(err, "version %d at every node", version)
		}
		times = append(times, time.Since(accepted))
	}
	return summarize(times), nil
}

func inForce(nodes []*rehearsal.Node, version uint64) bool {
	for _, running := range nodes {
		// A node that takes no work yet cannot serve by an older version.
		if running.Core.AcceptsWork() && running.Core.Configuration.Current().Version() < version {
			return false
		}
	}
	return true
}

func await(condition func() bool) error {
	for start := time.Now(); time.Since(start) < reactionLimit; time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errNoReaction
}

// change accepts a new weight of one tenant, as an operator's node does.
func change(ctx context.Context, fleet *rehearsal.Fleet) (uint64, error) {
	store := storeOf(fleet)
	head, err := configuration.ReadHead(ctx, store)
	if err != nil {
		return 0, err
	}
	holder := configuration.NewHolder()
	if err := holder.Advance(ctx, head, configuration.FromStore(store)); err != nil {
		return 0, err
	}
	tenant := holder.Current().Merged().Tenants[0]
	tenant.Weight = float64(head.Version + 1)
	plan, next, err := operator.MakePlan(holder.Current(), operator.Intent{
		Action: operator.ActionApply, Objects: api.Configuration{Tenants: []api.Tenant{tenant}},
	})
	if err != nil {
		return 0, err
	}
	published, err := configuration.Publish(ctx, store, head.Version, plan.Digest, plan.ChangedReferences(), *next)
	return published.Version, err
}

// replace kills a share of the nodes and starts them again.
func replace(fleet *rehearsal.Fleet, percent int) {
	alive := fleet.Alive()
	count := max(len(alive)*percent/100, 1)
	stride := max(len(alive)/count, 1)
	for i := range count {
		name := alive[(i*stride+1)%len(alive)].Name
		fleet.Kill(name)
		fleet.Start(name)
	}
}

// zoneCut cuts the last zone off from the other zones and the platform. The
// change must reach the others; the zone must catch up when it is back.
func (r *Report) zoneCut(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	if options.Zones < 2 {
		return nil
	}
	cut := fleet.Options.Zones[options.Zones-1]
	heal := fleet.Partition([]string{cut}, true)
	defer heal()
	rest := fleet.Options.Zones[:options.Zones-1]
	outside := func(fleet *rehearsal.Fleet) []*rehearsal.Node { return nodesIn(fleet, rest) }
	measured, err := measureSpread(ctx, fleet, options.Trials, func() {}, outside)
	if err != nil {
		return errors.Wrap(err, "zone cut off")
	}
	r.SpreadZoneCut = &measured
	heal()
	return errors.Wrap(await(func() bool { return inForce(fleet.Alive(), r.newest(fleet)) }), "zone after its return")
}

func (r *Report) newest(fleet *rehearsal.Fleet) uint64 {
	var version uint64
	for _, running := range fleet.Alive() {
		version = max(version, running.Core.Configuration.Current().Version())
	}
	return version
}

// deaths kills the owner of a pool and waits until the other nodes of the zone
// agree on another one.
func (r *Report) deaths(fleet *rehearsal.Fleet, options Options) error {
	var times []time.Duration
	for trial := range options.Trials {
		pools := fleet.Options.Configuration.Pools
		pool := pools[trial%len(pools)]
		ownerName := ownerOf(fleet.Alive()[0], pool)
		fleet.Kill(ownerName)
		died := time.Now()
		if err := await(func() bool { return agreeWithout(fleet, pool, map[string]bool{ownerName: true}) }); err != nil {
			return errors.Wrapf(err, "owner of %s after a death", pool.Name)
		}
		times = append(times, time.Since(died))
		fleet.Start(ownerName)
		if !fleet.WaitReady(readyLimit) {
			return errors.Wrap(errNoReaction, "fleet after a death")
		}
	}
	measured := summarize(times)
	r.OwnerSeconds = &measured
	return nil
}

func ownerOf(asked *rehearsal.Node, pool api.Pool) string {
	found, err := asked.Core.Cluster.Owner(pool.Zone, owner.Key(pool.Name))
	if err != nil {
		return ""
	}
	return found.Name
}

// agreeWithout reports whether all nodes name one living owner of a pool.
func agreeWithout(fleet *rehearsal.Fleet, pool api.Pool, dead map[string]bool) bool {
	named := ""
	for _, running := range fleet.Alive() {
		current := ownerOf(running, pool)
		if current == "" || dead[current] || (named != "" && current != named) {
			return false
		}
		named = current
	}
	return true
}

// zoneLost kills every node of the last zone and waits until its pools have
// owners in other zones.
func (r *Report) zoneLost(fleet *rehearsal.Fleet) error {
	zone := fleet.Options.Zones[len(fleet.Options.Zones)-1]
	dead := map[string]bool{}
	for _, running := range fleet.Alive() {
		if running.Zone == zone {
			dead[running.Name] = true
			fleet.Kill(running.Name)
		}
	}
	if len(fleet.Alive()) == 0 {
		return nil
	}
	lost := time.Now()
	for _, pool := range fleet.Options.Configuration.Pools {
		if pool.Zone != zone {
			continue
		}
		if err := await(func() bool { return agreeWithout(fleet, pool, dead) }); err != nil {
			return errors.Wrap(err, "pools of lost zone "+zone)
		}
	}
	r.ZoneLostSeconds = time.Since(lost).Seconds()
	return nil
}
