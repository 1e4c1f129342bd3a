package heaplimit

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/reelrun/reelrun/periodic"
)

const (
	// usableShare is the share of the machine's memory, less programBytes, that the runtime may use. The rest
	// is for the kernel's buffers of connections, and for growth until a collection ends.
	usableShare = 0.8
	// programBytes is the size of the program's text, which counts as memory of the process.
	programBytes = 16 << 20
	// minLimit is the lowest memory limit, in bytes. It keeps the runtime usable on a machine that is too small.
	minLimit = 16 << 20
	// garbageShare is the share of the machine's memory that garbage may take, but at least minGarbage.
	garbageShare = 1.0 / 32
	minGarbage   = 4 << 20
	// minPercent and maxPercent bound the growth of the heap between collections, as a percentage of the live
	// heap: more frequent collections cost more than they free, and a heap larger than twice the live heap,
	// which is the runtime's default, is not needed.
	minPercent = 20
	maxPercent = 100
	// adjustInterval is the time between adjustments of the growth to the live heap.
	adjustInterval = 2 * time.Second
	// minChange is the smallest change of the growth, in percentage points, that is applied.
	minChange = 5
	// releaseThreshold is the free heap memory, in bytes, from which it is returned to the machine at once. The
	// runtime returns it over minutes, and would hold the memory that a node needs only at its start for as
	// long.
	releaseThreshold = 4 << 20
	// releaseInterval is the shortest time between two releases, each of which forces a collection.
	releaseInterval = 10 * time.Second
	// freeMetric is the free memory that the heap holds, in bytes.
	freeMetric = "/memory/classes/heap/free:bytes"
	// liveMetric is the live heap at the last collection, in bytes.
	liveMetric = "/gc/heap/live:bytes"
)

// SoftLimit returns the memory limit of the runtime on a machine with the given memory, in bytes.
func SoftLimit(machineBytes int64) int64 {
	return max(minLimit, int64(float64(machineBytes-programBytes)*usableShare))
}

// GCPercent returns how far the heap may grow between collections, as a percentage of the live heap, given the
// sizes of the live heap and of the machine's memory.
func GCPercent(liveBytes, machineBytes int64) int {
	if liveBytes <= 0 {
		return maxPercent
	}
	garbage := max(minGarbage, int64(float64(machineBytes)*garbageShare))
	return int(min(maxPercent, max(minPercent, 100*garbage/liveBytes)))
}

// Run adjusts the runtime to a machine with the given memory, in bytes, until the context ends. If the
// memory is not known it leaves the runtime as it is.
func Run(ctx context.Context, machineBytes int64) {
	if machineBytes <= 0 {
		return
	}
	debug.SetMemoryLimit(SoftLimit(machineBytes))
	current, releasedAt := maxPercent, time.Now()
	periodic.Run(ctx, adjustInterval, func(context.Context) {
		live, free := readHeap()
		percent := GCPercent(live, machineBytes)
		if max(percent-current, current-percent) >= minChange {
			debug.SetGCPercent(percent)
			current = percent
		}
		if free >= releaseThreshold && time.Since(releasedAt) >= releaseInterval {
			debug.FreeOSMemory()
			releasedAt = time.Now()
		}
	})
}

// readHeap returns the live heap at the last collection and the free memory that the heap holds, in bytes. A
// metric that the runtime does not have is zero.
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
