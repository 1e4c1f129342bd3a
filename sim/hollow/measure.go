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
	// Window is how long the settled fleet is measured.
	Window time.Duration
	// Trials is the number of configuration changes for each spread.
	Trials int
	// Failures also measures churn, a zone that is cut off, and deaths.
	Failures bool
	// PartitionDuration also measures two regions that lose each other for this time.
	PartitionDuration time.Duration
	// Restarts also measures this number of restarts under load.
	Restarts int
}

// Spread is how long accepted configurations took to be in force everywhere.
type Spread struct {
	Trials int     `json:"trials"`
	Median float64 `json:"median_s"`
	Worst  float64 `json:"worst_s"`
}

// Report is the result of one measurement. Rates are for one node and second.
type Report struct {
	Nodes   int `json:"nodes"`
	Zones   int `json:"zones"`
	Servers int `json:"servers"`
	Tenants int `json:"tenants"`
	Models  int `json:"models"`

	StartSeconds float64 `json:"start_s"`
	// BytesSent and BytesReceived are between nodes; MaxBytesSent is of the node
	// that sent most.
	BytesSent      float64 `json:"bytes_sent_per_s"`
	MaxBytesSent   float64 `json:"max_bytes_sent_per_s"`
	Frames         float64 `json:"frames_per_s"`
	HeapBytes      float64 `json:"heap_bytes"`
	Goroutines     float64 `json:"goroutines"`
	ProcessorShare float64 `json:"processor_share"`
	// PlatformReads and the like are of the whole fleet.
	PlatformReads   float64 `json:"platform_reads_per_s"`
	PlatformWrites  float64 `json:"platform_writes_per_s"`
	PlatformWaiting int64   `json:"platform_waiting_watches"`

	Spread        Spread  `json:"spread"`
	SpreadChurn5  *Spread `json:"spread_churn_5,omitempty"`
	SpreadChurn20 *Spread `json:"spread_churn_20,omitempty"`
	SpreadZoneCut *Spread `json:"spread_zone_cut,omitempty"`
	// OwnerSeconds is the time from a node's death until its pools have another owner.
	OwnerSeconds *Spread `json:"owner_replaced,omitempty"`
	// ZoneLostSeconds is the time from the loss of a zone until its pools have
	// owners elsewhere.
	ZoneLostSeconds float64 `json:"zone_lost_s,omitempty"`
	// StreamsFreed is the time from a node's death until the engines hold none of
	// its streams; it includes the resume window.
	StreamsFreed *Spread   `json:"streams_freed,omitempty"`
	Parting      *Parting  `json:"regions_parted,omitempty"`
	Restarts     *Restarts `json:"restarts,omitempty"`
}

// startInterval is the time between the starts of two nodes.
const startInterval = 15 * time.Millisecond

// readyLimit bounds the start of the fleet.
const readyLimit = 3 * time.Minute

// enginesPerPool is the size of a generated pool.
const enginesPerPool = 8

// newFleet makes a fleet whose nodes are still to be started.
func newFleet(ctx context.Context, options Options) (*rehearsal.Fleet, error) {
	zones := make([]string, options.Zones)
	for i := range zones {
		zones[i] = fmt.Sprintf("zone-%d", i)
	}
	perModel := max(options.Servers/(enginesPerPool*options.Models), 1)
	shape := rehearsal.Shape{
		Zones: zones, Models: options.Models, PoolsPerModel: perModel, EnginesPerPool: enginesPerPool,
		Tenants: options.Tenants, Services: 2, ChecksFence: true,
	}
	return rehearsal.NewFleet(ctx, rehearsal.Options{
		Zones: zones, NodesPerZone: (options.Nodes + options.Zones - 1) / options.Zones,
		Configuration: rehearsal.Generate(shape), Engine: idleEngine(),
		Platform: platformsim.Options{WritesPerSecond: 300, ReadsPerSecond: 2000},
	})
}

// Measure builds a fleet, measures it and ends it.
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
	if !fleet.WaitReady(readyLimit) {
		return nil, errors.Newf("%d nodes are not ready after %s", report.Nodes, readyLimit)
	}
	report.StartSeconds = time.Since(started).Seconds()
	report.settled(fleet, options.Window)
	if err := report.reactions(ctx, fleet, options); err != nil {
		return nil, err
	}
	return report, nil
}

// idleEngine is a stand-in engine with a small cache, since thousands share the
// process.
func idleEngine() enginesim.Options {
	options := rehearsal.EngineOptions()
	const blocks = 64
	options.CacheBlocks = blocks
	return options
}

// settled measures the cost of a fleet in which nothing happens.
func (r *Report) settled(fleet *rehearsal.Fleet, window time.Duration) {
	// The first seconds after the start still carry joins.
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

// processorTime is the user and system time of the process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func summarize(times []time.Duration) Spread {
	if len(times) == 0 {
		return Spread{}
	}
	slices.Sort(times)
	return Spread{Trials: len(times), Median: times[len(times)/2].Seconds(), Worst: times[len(times)-1].Seconds()}
}

// storeOf returns the platform without the limits of a node.
func storeOf(fleet *rehearsal.Fleet) objectapi.Store { return fleet.Platform.Store }
