package heaplimit

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/reelrun/reelrun/periodic"
)

const (
	// usableShare is the part of the machine's memory, less programBytes, that the runtime may use. The
	// rest is for what the kernel holds for connections, and for the moment until a collection ends.
	usableShare = 0.8
	// programBytes is what the program's own text takes, which counts as memory of the process.
	programBytes = 16 << 20
	// leastLimit keeps the runtime able to work on a machine that is too small.
	leastLimit = 16 << 20
	// garbageShare is the part of the machine's memory that garbage may take, from leastGarbage on.
	garbageShare = 1.0 / 32
	leastGarbage = 4 << 20
	// leastPercent and mostPercent bound how far the heap grows between collections, as a percentage of
	// what is in use: collections that come too often cost more than they free, and above twice the
	// content the runtime's own pace is right.
	leastPercent = 20
	mostPercent  = 100
	// adjustInterval is how often the pace is adjusted to what is in use.
	adjustInterval = 2 * time.Second
	// leastChange is the change of the pace, in percent of the heap, that is worth an adjustment.
	leastChange = 5
	// releaseFrom is how much free memory, in bytes, is given back to the machine at once. The runtime gives it
	// back over minutes, and what a node needs when it starts would stay with it as long.
	releaseFrom = 4 << 20
	// releaseInterval is the least time between two such releases, each of which is a collection.
	releaseInterval = 10 * time.Second
	// freeMetric is the memory that the heap holds without use, in bytes.
	freeMetric = "/memory/classes/heap/free:bytes"
	// liveMetric is the heap that was in use at the last collection, in bytes.
	liveMetric = "/gc/heap/live:bytes"
)

// SoftLimit returns how much memory the runtime may use on a machine of so many bytes.
func SoftLimit(machine int64) int64 {
	return max(leastLimit, int64(float64(machine-programBytes)*usableShare))
}

// Percent returns by how much, as a percentage of what is in use, the heap may grow between collections on
// a machine of so many bytes.
func Percent(live, machine int64) int {
	if live <= 0 {
		return mostPercent
	}
	garbage := max(leastGarbage, int64(float64(machine)*garbageShare))
	return int(min(mostPercent, max(leastPercent, 100*garbage/live)))
}

// Run keeps the runtime within the memory of a machine of so many bytes until the context ends. Without a
// known size it leaves the runtime as it is.
func Run(ctx context.Context, machine int64) {
	if machine <= 0 {
		return
	}
	debug.SetMemoryLimit(SoftLimit(machine))
	current, released := mostPercent, time.Now()
	periodic.Run(ctx, adjustInterval, func(context.Context) {
		live, free := readHeap()
		wanted := Percent(live, machine)
		if max(wanted-current, current-wanted) >= leastChange {
			debug.SetGCPercent(wanted)
			current = wanted
		}
		if free >= releaseFrom && time.Since(released) >= releaseInterval {
			debug.FreeOSMemory()
			released = time.Now()
		}
	})
}

// readHeap returns the heap that was in use at the last collection, and what the heap holds without use, in
// bytes. A runtime that does not know them tells of nothing.
func readHeap() (live, free int64) {
	samples := []metrics.Sample{{Name: liveMetric}, {Name: freeMetric}}
	metrics.Read(samples)
	return bytesOf(samples[0]), bytesOf(samples[1])
}

func bytesOf(sample metrics.Sample) int64 {
	if sample.Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample.Value.Uint64())
}
