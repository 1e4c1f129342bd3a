package hollow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

// Parting is what two regions did while they had lost each other.
type Parting struct {
	Seconds float64 `json:"seconds"`
	// Near is the spread of changes in the region that reaches the platform.
	Near Spread `json:"near"`
	// FarStopped is the time until no node of the other region takes new work.
	FarStopped float64 `json:"far_stopped_s"`
	// Rejoined is the time from the end of the parting until every node is ready
	// with the newest version and hears all others.
	Rejoined float64 `json:"rejoined_s"`
}

// Restarts is what callers saw while nodes were restarted.
type Restarts struct {
	Kills   int     `json:"kills"`
	Stops   int     `json:"planned_stops"`
	Seconds float64 `json:"seconds"`
	// Verdict is that of the callers and the stand-ins' ledgers.
	Verdict *load.Verdict `json:"verdict"`
}

// streamsOfNode is the number of streams of the node that is killed.
const streamsOfNode = 8

// streamsFreed kills nodes whose callers read endless answers and go away, and
// measures the time until no engine holds a stream.
func (r *Report) streamsFreed(fleet *rehearsal.Fleet, options Options) error {
	var times []time.Duration
	for trial := range options.Trials {
		alive := fleet.Alive()
		killed := alive[(trial*7+1)%len(alive)]
		sent := newTraffic(fleet, options)
		ctx, hangUp := context.WithCancel(context.Background())
		for range streamsOfNode {
			if err := sent.start(ctx, sent.completion(trial, endlessTokens), []*rehearsal.Node{killed}); err != nil {
				hangUp()
				return err
			}
		}
		err := await(func() bool { return fleet.DecodingStreams() == streamsOfNode })
		fleet.Kill(killed.Name)
		hangUp()
		died := time.Now()
		if err == nil {
			err = await(func() bool { return fleet.HeldStreams() == 0 })
		}
		if err != nil {
			return errors.Wrap(err, "streams of a dead node")
		}
		times = append(times, time.Since(died))
		sent.wait()
		fleet.Start(killed.Name)
		if !fleet.WaitReady(readyLimit) {
			return errors.Wrap(errNoReaction, "fleet after the death of a node with streams")
		}
	}
	measured := summarize(times)
	r.StreamsFreed = &measured
	return nil
}

// regionsParted parts the zones into two regions, of which the second loses the
// platform too, and changes the configuration meanwhile.
func (r *Report) regionsParted(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	zones := fleet.Options.Zones
	far := zones[(len(zones)+1)/2:]
	nearNodes := func(fleet *rehearsal.Fleet) []*rehearsal.Node { return nodesIn(fleet, zones[:(len(zones)+1)/2]) }
	heal := fleet.Partition(far, true)
	defer heal()
	parted := time.Now()
	err := await(func() bool {
		for _, running := range nodesIn(fleet, far) {
			if running.Core.AcceptsWork() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "far region after the parting")
	}
	measured := Parting{FarStopped: time.Since(parted).Seconds()}
	for start := true; start || time.Since(parted) < options.PartitionDuration; start = false {
		spread, err := measureSpread(ctx, fleet, options.Trials, func() {}, nearNodes)
		if err != nil {
			return errors.Wrap(err, "near region while parted")
		}
		measured.Near = measured.Near.with(spread)
		time.Sleep(time.Second)
	}
	measured.Seconds = time.Since(parted).Seconds()
	heal()
	healed := time.Now()
	newest := r.newest(fleet)
	if !fleet.WaitReady(readyLimit) {
		return errors.Wrap(errNoReaction, "regions after the parting")
	}
	if err := await(func() bool { return inForce(fleet.Alive(), newest) }); err != nil {
		return errors.Wrap(err, "newest version after the parting")
	}
	measured.Rejoined = time.Since(healed).Seconds()
	r.Parting = &measured
	return nil
}

// with joins two spreads. The median becomes the mean of both medians, weighted by
// their trials.
func (s Spread) with(other Spread) Spread {
	trials := s.Trials + other.Trials
	if trials == 0 {
		return s
	}
	mean := (s.Median*float64(s.Trials) + other.Median*float64(other.Trials)) / float64(trials)
	return Spread{Trials: trials, Median: mean, Worst: max(s.Worst, other.Worst)}
}

// judge compares what callers saw with what the stand-ins did.
func judge(results []load.Result, fleet *rehearsal.Fleet) *load.Verdict {
	return load.Evaluate(results, fleet.Ledgers())
}

func nodesIn(fleet *rehearsal.Fleet, zones []string) []*rehearsal.Node {
	wanted := map[string]bool{}
	for _, zone := range zones {
		wanted[zone] = true
	}
	var selected []*rehearsal.Node
	for _, running := range fleet.Alive() {
		if wanted[running.Zone] {
			selected = append(selected, running)
		}
	}
	return selected
}

const (
	// restartInterval is the time between two restarts of the compressed day.
	restartInterval = 300 * time.Millisecond
	// requestsPerRestart is how many requests begin between two restarts.
	requestsPerRestart = 10
	// settleTime is above the resume window, the hold time and the retries of
	// cancellations.
	settleTime = 20 * time.Second
)

// restarts ends and starts nodes one after the other while requests run: every second
// one by a planned stop, the others by a kill.
func (r *Report) restarts(fleet *rehearsal.Fleet, options Options) error {
	sent := newTraffic(fleet, options)
	measured := Restarts{}
	began := time.Now()
	names := fleet.NodeNames()
	restarting := newRestarter(fleet)
	for number := range options.Restarts {
		name := names[number*restartStride%len(names)]
		if number%2 == 0 {
			measured.Kills++
			restarting.restart(name, fleet.Kill)
		} else {
			measured.Stops++
			restarting.restart(name, fleet.Stop)
		}
		for range requestsPerRestart {
			if err := sent.startAny(); err != nil {
				return err
			}
			time.Sleep(restartInterval / requestsPerRestart)
		}
	}
	restarting.wait()
	results := sent.wait()
	measured.Seconds = time.Since(began).Seconds()
	if !fleet.WaitReady(readyLimit) {
		return errors.Wrap(errNoReaction, "fleet after the restarts")
	}
	time.Sleep(settleTime)
	measured.Verdict = judge(results, fleet)
	r.Restarts = &measured
	return nil
}
