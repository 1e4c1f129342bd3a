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
	// reactionTimeout is the time after which a reaction counts as missing.
	reactionTimeout = 60 * time.Second
	pollInterval    = 5 * time.Millisecond
)

// errNoReaction is returned when a reaction takes longer than its limit.
var errNoReaction = errors.New("hollow: no reaction")

// measureReactions measures how fast the fleet reacts to changes and failures.
func (r *Report) measureReactions(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	propagation, err := measurePropagation(ctx, fleet, options.Trials, func() {}, allNodes)
	if err != nil {
		return err
	}
	r.Propagation = propagation
	if options.Restarts > 0 {
		if err := r.measureRestarts(fleet, options); err != nil {
			return err
		}
	}
	if options.PartitionDuration > 0 {
		if err := r.partitionRegions(ctx, fleet, options); err != nil {
			return err
		}
	}
	if !options.Failures {
		return nil
	}
	if err := r.measureStreamsFreed(fleet, options); err != nil {
		return err
	}
	for _, churn := range []struct {
		percent int
		target  **Delays
	}{{5, &r.PropagationChurn5}, {20, &r.PropagationChurn20}} {
		measured, err := measurePropagation(ctx, fleet, options.Trials, func() { restartNodes(fleet, churn.percent) }, allNodes)
		if err != nil {
			return errors.Wrapf(err, "churn of %d %%", churn.percent)
		}
		*churn.target = &measured
		if !fleet.WaitReady(readyTimeout) {
			return errors.Wrap(errNoReaction, "fleet after churn")
		}
	}
	if err := r.isolateZone(ctx, fleet, options); err != nil {
		return err
	}
	if err := r.killOwners(fleet, options); err != nil {
		return err
	}
	return r.killZone(fleet)
}

// allNodes returns every running node.
func allNodes(fleet *rehearsal.Fleet) []*rehearsal.Node { return fleet.Alive() }

// measurePropagation publishes configurations, each after a call of disturb, and measures
// the time until each is active at all selected nodes.
func measurePropagation(ctx context.Context, fleet *rehearsal.Fleet, trials int, disturb func(), selected func(*rehearsal.Fleet) []*rehearsal.Node) (Delays, error) {
	times := make([]time.Duration, 0, trials)
	for range trials {
		disturb()
		version, err := publishChange(ctx, fleet)
		if err != nil {
			return Delays{}, err
		}
		accepted := time.Now()
		err = await(func() bool { return isActive(selected(fleet), version) })
		if err != nil {
			return Delays{}, errors.Wrapf(err, "version %d at every node", version)
		}
		times = append(times, time.Since(accepted))
	}
	return summarize(times), nil
}

func isActive(nodes []*rehearsal.Node, version uint64) bool {
	for _, running := range nodes {
		// A node that accepts no work cannot serve with an older version.
		if running.Core.AcceptsWork() && running.Core.Configuration.Current().Version() < version {
			return false
		}
	}
	return true
}

func await(condition func() bool) error {
	for start := time.Now(); time.Since(start) < reactionTimeout; time.Sleep(pollInterval) {
		if condition() {
			return nil
		}
	}
	return errNoReaction
}

// publishChange publishes a new weight of one tenant, as an operator's node does.
func publishChange(ctx context.Context, fleet *rehearsal.Fleet) (uint64, error) {
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

// restartNodes kills a share of the nodes and starts them again.
func restartNodes(fleet *rehearsal.Fleet, percent int) {
	alive := fleet.Alive()
	count := max(len(alive)*percent/100, 1)
	stride := max(len(alive)/count, 1)
	for i := range count {
		name := alive[(i*stride+1)%len(alive)].Name
		fleet.Kill(name)
		fleet.Start(name)
	}
}

// isolateZone disconnects the last zone from the other zones and the platform.
// Changes must reach the other zones; the isolated zone must apply the newest
// version once it is connected again.
func (r *Report) isolateZone(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	if options.Zones < 2 {
		return nil
	}
	isolated := fleet.Options.Zones[options.Zones-1]
	heal := fleet.Partition([]string{isolated}, true)
	defer heal()
	others := fleet.Options.Zones[:options.Zones-1]
	outside := func(fleet *rehearsal.Fleet) []*rehearsal.Node { return nodesIn(fleet, others) }
	measured, err := measurePropagation(ctx, fleet, options.Trials, func() {}, outside)
	if err != nil {
		return errors.Wrap(err, "isolated zone")
	}
	r.PropagationZoneIsolated = &measured
	heal()
	return errors.Wrap(await(func() bool { return isActive(fleet.Alive(), r.newest(fleet)) }), "isolated zone after its reconnection")
}

func (r *Report) newest(fleet *rehearsal.Fleet) uint64 {
	var version uint64
	for _, running := range fleet.Alive() {
		version = max(version, running.Core.Configuration.Current().Version())
	}
	return version
}

// killOwners kills owners of pools, and measures the time until the other nodes
// agree on a new owner.
func (r *Report) killOwners(fleet *rehearsal.Fleet, options Options) error {
	var times []time.Duration
	for trial := range options.Trials {
		pools := fleet.Options.Configuration.Pools
		pool := pools[trial%len(pools)]
		ownerName := ownerOf(fleet.Alive()[0], pool)
		fleet.Kill(ownerName)
		killed := time.Now()
		if err := await(func() bool { return agreeWithout(fleet, pool, map[string]bool{ownerName: true}) }); err != nil {
			return errors.Wrapf(err, "owner of %s after a node failure", pool.Name)
		}
		times = append(times, time.Since(killed))
		fleet.Start(ownerName)
		if !fleet.WaitReady(readyTimeout) {
			return errors.Wrap(errNoReaction, "fleet after a node failure")
		}
	}
	measured := summarize(times)
	r.OwnerReplaced = &measured
	return nil
}

func ownerOf(observer *rehearsal.Node, pool api.Pool) string {
	found, err := observer.Core.Cluster.Owner(pool.Zone, owner.Key(pool.Name))
	if err != nil {
		return ""
	}
	return found.Name
}

// agreeWithout reports whether all running nodes have the same owner of a pool, and that
// owner is not one of the excluded nodes.
func agreeWithout(fleet *rehearsal.Fleet, pool api.Pool, excluded map[string]bool) bool {
	agreed := ""
	for _, running := range fleet.Alive() {
		current := ownerOf(running, pool)
		if current == "" || excluded[current] || (agreed != "" && current != agreed) {
			return false
		}
		agreed = current
	}
	return true
}

// killZone kills every node of the last zone, and measures the time until its
// pools have owners in other zones.
func (r *Report) killZone(fleet *rehearsal.Fleet) error {
	zone := fleet.Options.Zones[len(fleet.Options.Zones)-1]
	killed := map[string]bool{}
	for _, running := range fleet.Alive() {
		if running.Zone == zone {
			killed[running.Name] = true
			fleet.Kill(running.Name)
		}
	}
	if len(fleet.Alive()) == 0 {
		return nil
	}
	zoneKilled := time.Now()
	for _, pool := range fleet.Options.Configuration.Pools {
		if pool.Zone != zone {
			continue
		}
		if err := await(func() bool { return agreeWithout(fleet, pool, killed) }); err != nil {
			return errors.Wrap(err, "pools of lost zone "+zone)
		}
	}
	r.ZoneLostSeconds = time.Since(zoneKilled).Seconds()
	return nil
}
