package coordinator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/reelrun/reelrun/ledger"
)

// newBusy returns a coordinator whose engines are full, with waiting requests of various sizes.
func newBusy(engines, waiting int) *Coordinator {
	now := time.Second
	all := Engines{}
	for i := range engines {
		all.Decode = append(all.Decode, ledger.Engine{ID: fmt.Sprintf("d%d", i), Memory: 28_000, Slots: 16})
		all.Prefill = append(all.Prefill, fmt.Sprintf("p%d", i))
	}
	busy := New(Options{
		Engines: func(string) Engines {
			return Engines{Decode: append([]ledger.Engine(nil), all.Decode...), Prefill: append([]string(nil), all.Prefill...)}
		},
		Nodes: func() int { return 1 }, Now: func() time.Duration { return now },
	})
	random := rand.New(rand.NewPCG(5, 6))
	current := busy.state("s")
	current.decode.SetEngines(all.Decode)
	for i := 0; ; i++ {
		if _, assigned := current.decode.Assign(now, ledger.Run{ID: fmt.Sprint("run", i), Prompt: 3000, Output: 600, Holder: "n"}, nil); !assigned {
			break
		}
	}
	for i := range waiting {
		request := requestOf(fmt.Sprint("waits", i), time.Second)
		request.Run.Prompt, request.Run.Output = 2000+random.IntN(4000), 100+random.IntN(1000)
		current.waiting = append(current.waiting, &waiter{request: request, since: now, assigned: make(chan Assignment, 1)})
	}
	return busy
}

// BenchmarkServe serves the waiting requests once, with the bound that applies when a run ends, the
// bound that applies once per interval, and none.
func BenchmarkServe(b *testing.B) {
	for _, size := range []struct{ engines, waiting int }{{6, 20}, {60, 100}, {60, 300}} {
		for name, attempts := range map[string]int{"event": attemptsPerEvent, "interval": attemptsPerInterval, "unbounded": size.waiting} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d/%s", size.engines, size.waiting, name), func(b *testing.B) {
				busy := newBusy(size.engines, size.waiting)
				current := busy.state("s")
				for b.Loop() {
					busy.serve("s", current, attempts)
				}
			})
		}
	}
}

// BenchmarkAssign assigns engines to one request of a large service that is nearly idle.
func BenchmarkAssign(b *testing.B) {
	for _, engines := range []int{24, 600, 10_000, 20_000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			many := newManyEngines(engines*2/3, engines/3)
			now := time.Duration(0)
			assigning := many.newCoordinator(true, func() time.Duration { return now })
			b.ReportAllocs()
			for number := 0; b.Loop(); number++ {
				now += 10 * time.Millisecond
				id := strconv.Itoa(number)
				if assigning.Assign(b.Context(), requestOf(id, 0)).Decode == "" {
					b.Fatal("no engine assigned")
				}
				assigning.End(RunResult{Service: "s", ID: id})
			}
		})
	}
}
