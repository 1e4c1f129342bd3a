package hollow

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/reelrun/reelrun/objectapi"
	"github.com/reelrun/reelrun/sim/enginesim"
	"github.com/reelrun/reelrun/sim/platformsim"
	"github.com/reelrun/reelrun/sim/rehearsal"
)

// Options describe one measurement.
type Options struct {
	Nodes   int
	Zones   int
	Servers int
	Tenants int
	Models  int
	// Window is how long the fleet is measured without load or changes.
	Window time.Duration
	// Trials is the number of configuration changes for each measured delay.
	Trials int
	// Failures adds measurements of churn, an isolated zone, and node failures.
	Failures bool
	// PartitionDuration is the length of a measured network partition between two
	// regions; zero measures none.
	PartitionDuration time.Duration
	// Restarts is the number of measured restarts under load; zero measures none.
	Restarts int
}

// Delays summarizes measured times, in seconds, such as the time from the
// acceptance of a configuration until it is active at all nodes.
type Delays struct {
	Trials int     `json:"trials"`
	Median float64 `json:"median_s"`
	Worst  float64 `json:"worst_s"`
}

// Report is the result of one measurement. Rates are per second. Rates, memory,
// goroutines and processor time are per node, unless a field states otherwise.
type Report struct {
	Nodes   int `json:"nodes"`
	Zones   int `json:"zones"`
	Servers int `json:"servers"`
	Tenants int `json:"tenants"`
	Models  int `json:"models"`

	// StartSeconds is the time from the start of the first node until all are ready.
	StartSeconds float64 `json:"start_s"`
	// BytesSent counts traffic between nodes; MaxBytesSent is that of the node that sent most.
	BytesSent    float64 `json:"bytes_sent_per_s"`
	MaxBytesSent float64 `json:"max_bytes_sent_per_s"`
	Frames       float64 `json:"frames_per_s"`
	HeapBytes    float64 `json:"heap_bytes"`
	Goroutines   float64 `json:"goroutines"`
	// ProcessorShare is processor time divided by elapsed time.
	ProcessorShare float64 `json:"processor_share"`
	// PlatformReads, PlatformWrites and PlatformWaiting are totals of the whole fleet.
	PlatformReads   float64 `json:"platform_reads_per_s"`
	PlatformWrites  float64 `json:"platform_writes_per_s"`
	PlatformWaiting int64   `json:"platform_waiting_watches"`

	Propagation             Delays  `json:"spread"`
	PropagationChurn5       *Delays `json:"spread_churn_5,omitempty"`
	PropagationChurn20      *Delays `json:"spread_churn_20,omitempty"`
	PropagationZoneIsolated *Delays `json:"spread_zone_cut,omitempty"`
	// OwnerReplaced is the time from a node's failure until its pools have another owner.
	OwnerReplaced *Delays `json:"owner_replaced,omitempty"`
	// ZoneLostSeconds is the time from the failure of a zone until its pools have
	// owners in other zones.
	ZoneLostSeconds float64 `json:"zone_lost_s,omitempty"`
	// StreamsFreed is the time from a node's failure until the engines hold none of
	// its streams; it includes the resume window.
	StreamsFreed *Delays    `json:"streams_freed,omitempty"`
	Partition    *Partition `json:"regions_parted,omitempty"`
	Restarts     *Restarts  `json:"restarts,omitempty"`
}

// startInterval is the time between the starts of two nodes.
const startInterval = 15 * time.Millisecond

// readyTimeout bounds the start of the fleet.
const readyTimeout = 3 * time.Minute

// enginesPerPool is the number of engines of a generated pool.
const enginesPerPool = 8

// newFleet returns a fleet whose nodes are not started.
func newFleet(ctx context.Context, options Options) (*rehearsal.Fleet, error) {
	zones := make([]string, options.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("zone-%d", i)
	}
	perModel := max(options.Servers/(enginesPerPool*options.Models), 1)
	shape := rehearsal.Shape{
		Zones: zones, Models: options.Models, PoolsPerModel: perModel, EnginesPerPool: enginesPerPool,
		Tenants: options.Tenants, Services: 2, ChecksFencingToken: true,
	}
	return rehearsal.NewFleet(ctx, rehearsal.Options{
		Zones: zones, NodesPerZone: (options.Nodes + options.Zones - 1) / options.Zones,
		Configuration: rehearsal.Generate(shape), Engine: engineOptions(),
		Platform: platformsim.Options{WritesPerSecond: 300, ReadsPerSecond: 2000},
	})
}

// Measure starts a fleet, measures it and closes it.
func Measure(ctx context.Context, options Options) (*Report, error) {
	fleet, err := newFleet(ctx, options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	report := &Report{
		Nodes: len(fleet.NodeNames()), Zones: options.Zones, Servers: len(fleet.Engines), Tenants: options.Tenants, Models: options.Models,
	}
	started := time.Now()
	for _, name := range fleet.NodeNames() {
		fleet.Start(name)
		time.Sleep(startInterval)
	}
	if !fleet.WaitReady(readyTimeout) {
		return nil, errors.Newf("%d nodes are not ready after %s", report.Nodes, readyTimeout)
	}
	report.StartSeconds = time.Since(started).Seconds()
	report.measureIdle(fleet, options.Window)
	if err := report.measureReactions(ctx, fleet, options); err != nil {
		return nil, err
	}
	return report, nil
}

// engineOptions returns the options of stand-in engines. Their caches are small,
// since thousands of engines share the process.
func engineOptions() enginesim.Options {
	options := rehearsal.EngineOptions()
	const blocks = 64
	options.CacheBlocks = blocks
	return options
}

// measureIdle measures the cost of a fleet without load or changes.
func (r *Report) measureIdle(fleet *rehearsal.Fleet, window time.Duration) {
	// The first seconds after the start still include traffic of joining nodes.
	const quiet = 5 * time.Second
	time.Sleep(quiet)
	nodes := fleet.Alive()
	before := make(map[string]int64, len(nodes))
	framesBefore := int64(0)
	for _, running := range nodes {
		sent := fleet.Network.Sent(running.Host)
		before[running.Host] = sent.Bytes
		framesBefore += sent.Frames
	}
	countsBefore, processorBefore, start := fleet.Platform.Store.Counts(), processorTime(), time.Now()
	time.Sleep(window)
	elapsed := time.Since(start).Seconds()
	processor := processorTime() - processorBefore
	counts := fleet.Platform.Store.Counts()
	var total, frames, largest int64
	for _, running := range nodes {
		sent := fleet.Network.Sent(running.Host)
		total += sent.Bytes - before[running.Host]
		largest = max(largest, sent.Bytes-before[running.Host])
		frames += sent.Frames
	}
	count := float64(len(nodes))
	r.BytesSent = float64(total) / count / elapsed
	r.MaxBytesSent = float64(largest) / elapsed
	r.Frames = float64(frames-framesBefore) / count / elapsed
	r.ProcessorShare = processor.Seconds() / count / elapsed
	r.PlatformReads = float64(counts.Reads-countsBefore.Reads) / elapsed
	r.PlatformWrites = float64(counts.Writes-countsBefore.Writes) / elapsed
	r.PlatformWaiting = counts.Waiting
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.HeapBytes = float64(memory.HeapAlloc) / count
	r.Goroutines = float64(runtime.NumGoroutine()) / count
}

// processorTime returns the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func summarize(times []time.Duration) Delays {
	if len(times) == 0 {
		return Delays{}
	}
	slices.Sort(times)
	return Delays{Trials: len(times), Median: times[len(times)/2].Seconds(), Worst: times[len(times)-1].Seconds()}
}

// storeOf returns the platform's store, without the faults injected for nodes.
func storeOf(fleet *rehearsal.Fleet) objectapi.Store { return fleet.Platform.Store }
