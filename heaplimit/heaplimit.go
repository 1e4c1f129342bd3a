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
	current := mostPercent
	periodic.Run(ctx, adjustInterval, func(context.Context) {
		wanted := Percent(liveHeap(), machine)
		if max(wanted-current, current-wanted) >= leastChange {
			debug.SetGCPercent(wanted)
			current = wanted
		}
	})
}

// liveHeap returns the heap that was in use at the last collection, in bytes.
func liveHeap() int64 {
	samples := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64())
}
