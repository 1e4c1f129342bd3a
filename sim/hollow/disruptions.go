package hollow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/sim/load"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

// Partition is the behavior of two regions during and after a network partition.
type Partition struct {
	// Seconds is the length of the partition.
	Seconds float64 `json:"seconds"`
	// Connected is the propagation of changes in the region that reaches the platform.
	Connected Delays `json:"near"`
	// IsolatedStopped is the time, in seconds, until no node of the other region accepts
	// new work.
	IsolatedStopped float64 `json:"far_stopped_s"`
	// Rejoined is the time, in seconds, from the end of the partition until every node is
	// ready with the newest version and receives the heartbeats of all others.
	Rejoined float64 `json:"rejoined_s"`
}

// Restarts is what callers observed while nodes were restarted.
type Restarts struct {
	Kills int `json:"kills"`
	Stops int `json:"planned_stops"`
	// Seconds is the time from the first restart until all callers had ended.
	Seconds float64 `json:"seconds"`
	// Verdict is based on the callers' results and the stand-ins' ledgers.
	Verdict *load.Verdict `json:"verdict"`
}

// streamsPerNode is the number of streams of the node that is killed.
const streamsPerNode = 8

// measureStreamsFreed kills nodes whose callers read endless streams and then disconnect,
// and measures the time until no engine holds a stream.
func (r *Report) measureStreamsFreed(fleet *rehearsal.Fleet, options Options) error {
	var times []time.Duration
	for trial := range options.Trials {
		alive := fleet.Alive()
		victim := alive[(trial*7+1)%len(alive)]
		generator := newTraffic(fleet, options)
		ctx, disconnect := context.WithCancel(context.Background())
		for range streamsPerNode {
			if err := generator.start(ctx, generator.completion(trial, endlessTokens), []*rehearsal.Node{victim}); err != nil {
				disconnect()
				return err
			}
		}
		err := await(func() bool { return fleet.DecodingStreams() == streamsPerNode })
		fleet.Kill(victim.Name)
		disconnect()
		killed := time.Now()
		if err == nil {
			err = await(func() bool { return fleet.HeldStreams() == 0 })
		}
		if err != nil {
			return errors.Wrap(err, "streams of a killed node")
		}
		times = append(times, time.Since(killed))
		generator.wait()
		fleet.Start(victim.Name)
		if !fleet.WaitReady(readyTimeout) {
			return errors.Wrap(errNoReaction, "fleet after the failure of a node with streams")
		}
	}
	measured := summarize(times)
	r.StreamsFreed = &measured
	return nil
}

// partitionRegions measures a network partition of the zones into two regions, of
// which the second is disconnected from the platform too. It changes the
// configuration during the partition.
func (r *Report) partitionRegions(ctx context.Context, fleet *rehearsal.Fleet, options Options) error {
	zones := fleet.Options.Zones
	isolated := zones[(len(zones)+1)/2:]
	connectedNodes := func(fleet *rehearsal.Fleet) []*rehearsal.Node { return nodesIn(fleet, zones[:(len(zones)+1)/2]) }
	heal := fleet.Partition(isolated, true)
	defer heal()
	partitionStart := time.Now()
	err := await(func() bool {
		for _, running := range nodesIn(fleet, isolated) {
			if running.Core.AcceptsWork() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return errors.Wrap(err, "isolated region after the start of the partition")
	}
	measured := Partition{IsolatedStopped: time.Since(partitionStart).Seconds()}
	for start := true; start || time.Since(partitionStart) < options.PartitionDuration; start = false {
		propagation, err := measurePropagation(ctx, fleet, options.Trials, func() {}, connectedNodes)
		if err != nil {
			return errors.Wrap(err, "connected region during the partition")
		}
		measured.Connected = measured.Connected.merge(propagation)
		time.Sleep(time.Second)
	}
	measured.Seconds = time.Since(partitionStart).Seconds()
	heal()
	partitionEnd := time.Now()
	newest := r.newest(fleet)
	if !fleet.WaitReady(readyTimeout) {
		return errors.Wrap(errNoReaction, "regions after the partition")
	}
	if err := await(func() bool { return isActive(fleet.Alive(), newest) }); err != nil {
		return errors.Wrap(err, "newest version after the partition")
	}
	measured.Rejoined = time.Since(partitionEnd).Seconds()
	r.Partition = &measured
	return nil
}

// merge combines two summaries. The median becomes the mean of both medians,
// weighted by the number of trials.
func (s Delays) merge(other Delays) Delays {
	trials := s.Trials + other.Trials
	if trials == 0 {
		return s
	}
	mean := (s.Median*float64(s.Trials) + other.Median*float64(other.Trials)) / float64(trials)
	return Delays{Trials: trials, Median: mean, Worst: max(s.Worst, other.Worst)}
}

// evaluate compares what callers received with what the stand-ins ran.
func evaluate(results []load.Result, fleet *rehearsal.Fleet) *load.Verdict {
	return load.Evaluate(results, fleet.Ledgers())
}

func nodesIn(fleet *rehearsal.Fleet, zones []string) []*rehearsal.Node {
	inZones := map[string]bool{}
	for _, zone := range zones {
		inZones[zone] = true
	}
	var selected []*rehearsal.Node
	for _, running := range fleet.Alive() {
		if inZones[running.Zone] {
			selected = append(selected, running)
		}
	}
	return selected
}

const (
	// restartInterval is the time between two restarts. It is short, so that the restarts
	// of a day fit into a measurement.
	restartInterval = 300 * time.Millisecond
	// requestsPerRestart is the number of requests sent between two restarts.
	requestsPerRestart = 10
	// settleTime is the wait before the verdict. It is longer than the resume window, the
	// hold time and the retries of cancellations.
	settleTime = 20 * time.Second
)

// measureRestarts restarts nodes one after the other under load: every second one
// with a planned stop, the others with a kill.
func (r *Report) measureRestarts(fleet *rehearsal.Fleet, options Options) error {
	generator := newTraffic(fleet, options)
	measured := Restarts{}
	started := time.Now()
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
			if err := generator.startAny(); err != nil {
				return err
			}
			time.Sleep(restartInterval / requestsPerRestart)
		}
	}
	restarting.wait()
	results := generator.wait()
	measured.Seconds = time.Since(started).Seconds()
	if !fleet.WaitReady(readyTimeout) {
		return errors.Wrap(errNoReaction, "fleet after the restarts")
	}
	time.Sleep(settleTime)
	measured.Verdict = evaluate(results, fleet)
	r.Restarts = &measured
	return nil
}
